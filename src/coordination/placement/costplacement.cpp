#include "coordination/placement/costplacement.h"

namespace sapphirecove::coordination::placement {

namespace {

/** Weight of decoding time; above about 0.1 a slightly faster target outweighs a cached prefix of 4,000 tokens. */
constexpr double DecodeShare = 0.1;

/** Cost of a full batch in seconds. */
constexpr double OccupancyCost = 0.05;

/** Round trip between failure domains of a region in seconds. */
constexpr double DomainRoundTrip = 0.001;

/** Round trip between regions in seconds. */
constexpr double RegionRoundTrip = 0.024;

/** Speed of the link between regions: 30 Mbit/s. */
constexpr double LinkBytesPerSecond = 3.75e6;

/** The link is shared by all traffic and billed, so a byte costs more than its own transmission time. */
constexpr double LinkPrice = 10;

/** Size of one streamed token as an event with its chunk. */
constexpr double BytesPerOutputToken = 200;

double distanceCost(const Candidate &candidate, const SlotRequest &ask)
{
    switch (candidate.distance) {
    case Distance::SameFailureDomain:
        return 0;
    case Distance::SameRegion:
        return DomainRoundTrip;
    case Distance::OtherRegion:
        break;
    }
    const double bytes = ask.bodyBytes + BytesPerOutputToken * ask.maxOutputTokens;
    return RegionRoundTrip + LinkPrice * bytes / LinkBytesPerSecond;
}

} // namespace

std::optional<std::size_t> CostPlacement::choose(std::span<const Candidate> candidates,
                                                 const SlotRequest &ask,
                                                 state::Time /*now*/,
                                                 Random & /*random*/)
{
    std::optional<std::size_t> best;
    double lowest = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const double candidateCost = cost(candidates[i], ask);
        if (!best || candidateCost < lowest) {
            best = i;
            lowest = candidateCost;
        }
    }
    return best;
}

double CostPlacement::cost(const Candidate &candidate, const SlotRequest &ask)
{
    const state::Duration decode = candidate.timeToEnd - candidate.timeToFirstToken;
    return state::toSeconds(candidate.timeToFirstToken) + state::toSeconds(candidate.prefillTime)
        + DecodeShare * state::toSeconds(decode) + OccupancyCost * candidate.streams / candidate.streamLimit
        + distanceCost(candidate, ask);
}

} // namespace sapphirecove::coordination::placement
