#pragma once

#include "coordination/message.h"

#include <cstdint>

namespace sapphirecove::coordination {

/** Learned averages over all requests of a group. */
class ServiceAverages
{
public:
    /** Learns from a complete answer to a request with this limit on output tokens; ignores other outcomes. */
    void learn(std::uint32_t maxOutputTokens, const SlotRelease &release);

    /** Returns the output tokens to expect of a request that allows this many. */
    double expectedOutput(std::uint32_t maxOutputTokens) const;

    /** Returns the average time from dispatch to the end in seconds; 0 before the first answer. */
    double seconds() const;

private:
    double m_outputShare = 1; // of the allowed tokens; without answers, all of them are expected
    double m_seconds = 0;
};

} // namespace sapphirecove::coordination
