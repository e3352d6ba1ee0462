#include "coordination/groupselector.h"

#include <algorithm>

#include <xxhash.h>

namespace sapphirecove::coordination {

namespace {

// One-way latency between regions is about 12 ms; slot request, grant and answer take two round trips.
constexpr double RemoteRoundTripSeconds = 0.05;
constexpr double LinkBytesPerSecond = 30e6 / 8;
// The link is shared by all traffic and billed by volume, so a byte costs more than its own transfer time.
constexpr double LinkCostFactor = 10.0;
constexpr double BytesPerToken = 4.0;
constexpr state::Duration SummaryLifetime = std::chrono::seconds(2);
// Expected wait for each slot request beyond the free streams of the last summary; spreads bursts between summaries.
constexpr double QueuedRequestSeconds = 0.02;
// Groups within this cost of the best one count as equal; a hash of the prompt prefix chooses between them.
constexpr double EqualCostSeconds = 0.01;

std::uint64_t affinity(const RequestInfo &request, const Group &group)
{
    const std::uint64_t prefixKey =
        request.prefixHashes.empty() ? XXH64(request.id.data(), request.id.size(), 0) : request.prefixHashes.front();
    return XXH64(group.id.data(), group.id.size(), prefixKey);
}

} // namespace

GroupSelector::GroupSelector(std::string ownRegion)
    : m_ownRegion(std::move(ownRegion))
{
}

void GroupSelector::update(const GroupSummary &summary, state::Time now)
{
    m_summaries[summary.group] = AnnouncedSummary{ summary, now, 0 };
}

std::optional<std::size_t> GroupSelector::choose(const RequestInfo &request,
                                                 std::span<const Group *const> groups,
                                                 std::span<const state::GroupId> excluded,
                                                 state::Time now)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t i = 0; i < groups.size(); ++i) {
        if (std::find(excluded.begin(), excluded.end(), groups[i]->id) != excluded.end()) {
            continue;
        }
        const double groupCost = cost(request, *groups[i], now);
        const bool equal = best && std::abs(groupCost - bestCost) < EqualCostSeconds;
        const bool better =
            !best || (equal ? affinity(request, *groups[i]) > affinity(request, *groups[*best]) : groupCost < bestCost);
        if (better) {
            best = i;
            bestCost = groupCost;
        }
    }
    if (best) {
        ++m_summaries[groups[*best]->id].requestsSinceSummary;
    }
    return best;
}

double GroupSelector::cost(const RequestInfo &request, const Group &group, state::Time now) const
{
    double seconds = 0;
    if (group.region != m_ownRegion) {
        const double bytes = request.bodyBytes + BytesPerToken * request.maxOutputTokens;
        seconds += RemoteRoundTripSeconds + LinkCostFactor * bytes / LinkBytesPerSecond;
    }
    const auto known = m_summaries.find(group.id);
    if (known == m_summaries.end() || now - known->second.receivedAt > SummaryLifetime) {
        return seconds;
    }
    const AnnouncedSummary &latest = known->second;
    seconds += state::toSeconds(latest.summary.estimatedWait);
    if (latest.requestsSinceSummary > latest.summary.freeStreams) {
        seconds += QueuedRequestSeconds * (latest.requestsSinceSummary - latest.summary.freeStreams);
    }
    return seconds;
}

} // namespace sapphirecove::coordination
