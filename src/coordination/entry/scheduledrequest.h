#pragma once

#include "coordination/entry/regionrules.h"
#include "state/entry/targetentry.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Target that wants no requests from a host for a time. */
struct BackOff
{
    std::uint32_t target = 0; /**< hash of the incarnation */
    state::Time until{};
};

/** Request as the scheduler sees it. */
struct ScheduledRequest
{
    /**
     * Most parts that crashes accuse. A header of 16 KiB has room for 5,461 different ones, and the request itself is
     * one more.
     */
    static constexpr std::size_t MaxParts = 5600;

    std::uint64_t id = 0; /**< unique at the host that decides */
    std::string service;
    std::string route;
    std::string failureDomain; /**< of the host that runs the request; empty for the decider's own */
    std::string host; /**< that runs the request; empty for the decider itself. Set by the decider */
    std::string customer; /**< whose quota is charged; empty for none */
    double cost = 0; /**< in the unit of the customer's quota */
    int priority = 0; /**< of the route and the customer together; 0 is the most urgent */
    state::Duration latencyTarget{};
    state::Duration pauseTarget{}; /**< longest pause between events that is on time; 0 if none is declared */
    state::Time arrived{}; /**< when the host had received it */
    state::Time deadline{}; /**< latest time for the first event or the complete response */
    bool model = false;
    double promptTokens = 0;
    std::optional<double> expectedOutputTokens;
    std::vector<std::string> excludedTargets; /**< already tried */
    std::vector<std::uint64_t> parts; /**< which a crash accuses, each once: the request itself, then shared parts of
                                         its prompt; at most MaxParts */
    std::vector<BackOff> backOffs; /**< that made the host refuse placements of this request */
    PermittedRegions permittedRegions; /**< by the configuration of the host that runs the request */
};

/** Reason why a request is not sent to a target. */
enum class RefusalReason {
    Overloaded, /**< the wait would be too long */
    Expired, /**< it has waited too long */
    NoTarget, /**< the service has no target */
    OverQuota, /**< the customer has used its quota */
    CrashesTargets, /**< targets have crashed at the same request, or at requests with the same part of the prompt */
};

/** Returns the name of @p reason for the log. */
std::string_view nameOf(RefusalReason reason);

/** Decision about a waiting request: a target or a refusal. */
struct Decision
{
    std::uint64_t request = 0;
    std::string decider; /**< host that decided; set at the host of the request */
    std::optional<RefusalReason> refusal; /**< none if a target was found */
    state::Duration retryAfter{}; /**< for a refusal */
    state::entry::TargetEntry target;
    std::uint32_t targetHash = 0;
    std::uint32_t targetRunning = 0; /**< requests at the target before this one, as far as known */
    std::optional<double> targetLimit; /**< in requests per second from all hosts, at which the decider paces */
    double expectedFirstMs = 0;
    state::Time targetsConfirmed{}; /**< time up to which the list that names the target is known to be complete, by the
                                       clock of the host that sends the request */
    bool isTrial = false; /**< tests whether a blocked part still crashes targets */
};

} // namespace sapphirecove::coordination::entry
