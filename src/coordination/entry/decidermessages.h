#pragma once

#include "coordination/entry/peerreport.h"
#include "coordination/entry/scheduledrequest.h"
#include "coordination/entry/targetload.h"
#include "state/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Age up to which a permission may be used, by the asker's clock: several round trips between regions. Deciders keep
 * the slot for longer. */
constexpr state::Duration PlacementLifetime = std::chrono::milliseconds(500);

/** Process of a host as others address it. */
struct HostProcess
{
    std::string host;
    std::uint64_t incarnation = 0; /**< random number of the process */
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const HostProcess &, const HostProcess &) = default;
};

/** Question of a host: when and where may this request run? Repeated until it is answered. */
struct DecisionRequest
{
    HostProcess requester;
    std::int64_t sent = 0; /**< asker's clock in microseconds */
    ScheduledRequest request; /**< its id is the asker's */
};

/** Answer to an Ask. */
struct DecisionReply
{
    enum class State : std::uint8_t {
        Queued, /**< the request waits at the decider */
        Decided,
        Declined, /**< the host does not decide now */
    };

    std::string decider; /**< name of the host */
    std::uint64_t deciderIncarnation = 0;
    std::int64_t asked = 0; /**< Ask::sent of the first ask that the decider got */
    state::Duration held{}; /**< from that ask to the decision, by the decider's clock */
    State state = State::Queued;
    Decision decision; /**< if decided; names the request by the asker's id */
};

/** What has become of a request that a decider placed or keeps waiting. */
struct AttemptUpdate
{
    enum class Kind : std::uint8_t {
        FirstEvent,
        Finished,
        Withdrawn, /**< the asker does not wait for it any more */
    };

    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t request = 0; /**< the asker's id */
    Kind kind = Kind::Finished;
    AttemptOutcome outcome = AttemptOutcome::Abandoned;
    std::uint32_t events = 0;
};

/** Answer of a possible decider to a PeerReport. */
struct ReportReply
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::int64_t reportSentAt = 0; /**< PeerReport::question that is answered */
    bool canDecide = false; /**< knows the targets and may be asked */
    bool qualified = false; /**< hears most of the hosts that it knows of, and its targets are current */
    std::uint64_t configuration = 0; /**< version; 0 before the first one */
    state::Duration confirmedAge{}; /**< since the metadata store surely held that version as its newest */
    std::uint32_t liveHosts = 0; /**< that it hears, itself included */
    std::vector<QuotaShare> quotas; /**< use by all hosts */
};

/** Returns a short name of a process for reports. */
std::uint32_t processHash(std::string_view host, std::uint64_t incarnation);

} // namespace sapphirecove::coordination::entry
