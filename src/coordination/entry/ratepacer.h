#pragma once

#include "state/time.h"

namespace sapphirecove::coordination::entry {

/**
 * Token bucket that spreads requests evenly at a rate that may change at any time.
 *
 * Each process starts with another part of a request, so that many processes that take charge of a part of the rate at
 * once do not send together.
 */
class RatePacer
{
public:
    /** Time for which unused requests are kept; short, so that a target gets no bursts. */
    static constexpr double UsualBurstSeconds = 0.5;

    /**
     * Returns the highest rate that lets no more than @p requests, at least 1, through in any second if those unused in
     * @p burstSeconds are kept.
     */
    static double rateWithin(double requests, double burstSeconds);

    /** @p phase is the fraction of a request, from 0 to less than 1, with which this process starts at @p now. */
    RatePacer(double phase, state::Time now);

    /** Advances to @p now without adding requests, since others were in charge of the rate. */
    void skip(state::Time now);

    /** Advances to @p now at @p rate requests per second since the last call; keeps those unused in @p burstSeconds. */
    void refill(double rate, state::Time now, double burstSeconds = UsualBurstSeconds);

    /** Drops what is saved up beyond @p most requests; a debt stays. */
    void dropSaved(double most);

    /** Returns whether a request may be sent; valid after refill(). */
    bool ready() const;

    /** Counts @p requests; those that others sent may leave a debt of a few seconds at @p rate. */
    void spend(double requests, double rate);

private:
    double m_level;
    state::Time m_updated;
};

} // namespace sapphirecove::coordination::entry
