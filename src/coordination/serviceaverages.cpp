#include "coordination/serviceaverages.h"

#include "state/time.h"

#include <algorithm>

namespace sapphirecove::coordination {

namespace {

/** Weight of a new sample; averages over about 20 responses. */
constexpr double LearnWeight = 0.05;

/** Lower bound of the output share, so that a series of empty responses does not predict zero service time. */
constexpr double MinimumOutputShare = 0.02;

} // namespace

void ServiceAverages::addSample(std::uint32_t maxOutputTokens, const SlotRelease &release)
{
    if (release.outcome != GrantOutcome::Complete) {
        return;
    }
    const double seconds = state::toSeconds(release.total);
    m_seconds = m_seconds == 0 ? seconds : m_seconds + LearnWeight * (seconds - m_seconds);
    if (maxOutputTokens > 0) {
        const double share = std::min(release.outputTokens / static_cast<double>(maxOutputTokens), 1.0);
        m_outputShare = std::max(m_outputShare + LearnWeight * (share - m_outputShare), MinimumOutputShare);
    }
}

double ServiceAverages::expectedOutput(std::uint32_t maxOutputTokens) const
{
    return m_outputShare * maxOutputTokens;
}

double ServiceAverages::seconds() const
{
    return m_seconds;
}

} // namespace sapphirecove::coordination
