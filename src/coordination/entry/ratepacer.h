#pragma once

#include "state/time.h"

namespace sapphirecove::coordination::entry {

/**
 * Token bucket that spreads requests evenly at a rate that may change at any time.
 *
 * It fills only while it is refilled. A process that takes charge of the rate starts with less than one request, and
 * each process with another part of one, so that many processes that take charge at once do not send together.
 */
class RatePacer
{
public:
    /** @p phase is the fraction of a request, from 0 to less than 1, with which this process takes charge. */
    explicit RatePacer(double phase);

    /** Starts anew after a time without charge of the rate. */
    void takeCharge(state::Time now);

    /** Advances to @p now at @p rate requests per second since the last call. */
    void refill(double rate, state::Time now);

    /** Returns whether a request may be sent; valid after refill(). */
    bool ready() const;

    /** Counts @p requests; those that others sent may leave a debt of a few seconds at @p rate. */
    void spend(double requests, double rate);

private:
    double m_phase;
    double m_level;
    state::Time m_updated{};
};

} // namespace sapphirecove::coordination::entry
