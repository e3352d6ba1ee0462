#include "coordination/refusal.h"

#include <array>

namespace sapphirecove::coordination {

namespace {

struct ReasonRow
{
    RefusalReason reason;
    std::string_view name;
    int status;
};

constexpr std::array ReasonTable{
    ReasonRow{ RefusalReason::Overloaded, "overloaded", 503 },
    ReasonRow{ RefusalReason::DeadlineInfeasible, "deadline_infeasible", 422 },
    ReasonRow{ RefusalReason::DeadlineExceeded, "deadline_exceeded", 504 },
    ReasonRow{ RefusalReason::UnknownModel, "unknown_model", 404 },
    ReasonRow{ RefusalReason::Unauthorized, "unauthorized", 401 },
    ReasonRow{ RefusalReason::BadRequest, "bad_request", 400 },
    ReasonRow{ RefusalReason::TooLarge, "too_large", 413 },
    ReasonRow{ RefusalReason::RateLimited, "rate_limited", 429 },
    ReasonRow{ RefusalReason::DuplicateRequest, "duplicate_request", 409 },
    ReasonRow{ RefusalReason::ClaimsUnavailable, "claims_unavailable", 503 },
    ReasonRow{ RefusalReason::NoTarget, "no_target", 503 },
    ReasonRow{ RefusalReason::Draining, "draining", 503 },
    ReasonRow{ RefusalReason::OutcomeUnknown, "outcome_unknown", 502 },
    ReasonRow{ RefusalReason::TargetFailed, "target_failed", 502 },
    ReasonRow{ RefusalReason::NotReady, "not_ready", 503 },
    ReasonRow{ RefusalReason::SlowSender, "slow_sender", 408 },
    ReasonRow{ RefusalReason::KeyRequired, "key_required", 428 },
    ReasonRow{ RefusalReason::NoRoute, "no_route", 404 },
};

const ReasonRow &rowOf(RefusalReason reason)
{
    return ReasonTable.at(static_cast<std::size_t>(reason));
}

} // namespace

std::string_view toString(RefusalReason reason)
{
    return rowOf(reason).name;
}

std::string_view toString(Executed executed)
{
    switch (executed) {
    case Executed::No:
        return "no";
    case Executed::Yes:
        return "yes";
    case Executed::Unknown:
        break;
    }
    return "unknown";
}

int httpStatus(RefusalReason reason)
{
    return rowOf(reason).status;
}

} // namespace sapphirecove::coordination
