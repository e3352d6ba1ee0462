#pragma once

#include "state/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::coordination {

/** Whether the refused request was executed. */
enum class Executed {
    No, /**< no byte of it reached a target, and none will */
    Yes,
    Unknown,
};

/** Machine-readable reason of a refusal. */
enum class RefusalReason {
    Overloaded,
    DeadlineInfeasible,
    DeadlineExceeded,
    UnknownModel,
    Unauthorized,
    BadRequest,
    TooLarge,
    RateLimited,
    DuplicateRequest,
    ClaimsUnavailable,
    NoTarget,
    Draining,
    OutcomeUnknown,
    TargetFailed,
    NotReady,
    SlowSender,
    KeyRequired,
    NoRoute,
};

/** Final response to a request for which there is no response from a target. */
struct Refusal
{
    RefusalReason reason = RefusalReason::Overloaded;
    Executed executed = Executed::No;
    std::optional<state::Duration> retryAfter; /**< absent if the caller should not retry */
    std::string detail;
};

/** Returns the name of the reason in the problem document, for example "deadline_infeasible". */
std::string_view toString(RefusalReason reason);

/** Returns "no", "yes" or "unknown". */
std::string_view toString(Executed executed);

/** Returns the HTTP status of a reason. */
int httpStatus(RefusalReason reason);

} // namespace sapphirecove::coordination
