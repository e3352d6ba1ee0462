#pragma once

#include "coordination/message.h"

#include <cstdint>

namespace sapphirecove::coordination {

/** Exponentially weighted averages over all requests of a group. */
class ServiceAverages
{
public:
    /** Adds the sample of a completed request with this limit on output tokens; ignores other outcomes. */
    void addSample(std::uint32_t maxOutputTokens, const SlotRelease &release);

    /** Returns the expected number of output tokens of a request with this limit. */
    double expectedOutput(std::uint32_t maxOutputTokens) const;

    /** Returns the average time from dispatch to the end in seconds; 0 before the first sample. */
    double seconds() const;

private:
    double m_outputShare = 1; // of the allowed tokens; all of them are expected before the first sample
    double m_seconds = 0;
};

} // namespace sapphirecove::coordination
