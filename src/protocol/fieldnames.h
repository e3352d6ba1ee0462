#pragma once

#include "coordination/message.h"
#include "state/hostlist.h"
#include "state/logrecord.h"

#include <array>
#include <concepts>
#include <optional>
#include <string_view>
#include <type_traits>

namespace sapphirecove::protocol {

/** Matches Struct and const Struct, so that one field list serves reading and writing. */
template <typename T, typename Struct>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Struct>;

/** Name of an enumerator in JSON. */
template <typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

template <typename Enum>
EnumName(Enum, const char *) -> EnumName<Enum>;

/** Names of all enumerators of Enum; specialized below. */
template <typename Enum>
inline constexpr std::array<EnumName<Enum>, 0> EnumNames{};

template <>
inline constexpr std::array EnumNames<coordination::DenialReason>{
    EnumName{ coordination::DenialReason::Overloaded, "overloaded" },
    EnumName{ coordination::DenialReason::DeadlineInfeasible, "deadline_infeasible" },
    EnumName{ coordination::DenialReason::NoTarget, "no_target" },
    EnumName{ coordination::DenialReason::NotArbiter, "not_arbiter" },
};

template <>
inline constexpr std::array EnumNames<coordination::GrantOutcome>{
    EnumName{ coordination::GrantOutcome::Unused, "unused" },
    EnumName{ coordination::GrantOutcome::ConnectRefused, "connect_refused" },
    EnumName{ coordination::GrantOutcome::Complete, "complete" },
    EnumName{ coordination::GrantOutcome::Failed, "failed" },
    EnumName{ coordination::GrantOutcome::Interrupted, "cut" },
    EnumName{ coordination::GrantOutcome::Cancelled, "cancelled" },
};

template <>
inline constexpr std::array EnumNames<state::ChangeState>{
    EnumName{ state::ChangeState::Loading, "loading" },
    EnumName{ state::ChangeState::Shifting, "shifting" },
    EnumName{ state::ChangeState::Done, "done" },
    EnumName{ state::ChangeState::RolledBack, "undone" },
};

template <>
inline constexpr std::array EnumNames<state::ListedState>{
    EnumName{ state::ListedState::Live, "live" },
    EnumName{ state::ListedState::Leaving, "leaving" },
};

/** Returns the JSON name of @p value. */
template <typename Enum>
std::string_view nameOf(Enum value)
{
    for (const auto &entry : EnumNames<Enum>) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return "unknown";
}

/** Returns the enumerator called @p name, if there is one. */
template <typename Enum>
std::optional<Enum> enumFromName(std::string_view name)
{
    for (const auto &entry : EnumNames<Enum>) {
        if (entry.name == name) {
            return entry.value;
        }
    }
    return std::nullopt;
}

} // namespace sapphirecove::protocol
