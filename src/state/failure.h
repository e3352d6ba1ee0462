#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace sapphirecove::state {

/** Error of an operation, with the step that failed and the peer that was involved. */
struct Failure
{
    std::string step; /**< operation that failed, for example "log.append" */
    std::string peer; /**< address, file or name of the other party; empty if there is none */
    std::string detail; /**< description of the error, in one line */
};

/** Result of an operation that can fail with a Failure. */
template <typename T>
using Result = boost::leaf::result<T>;

/** Returns an error result that carries a Failure. */
inline boost::leaf::error_id fail(std::string_view step, std::string_view peer, std::string_view detail)
{
    return boost::leaf::new_error(Failure{ std::string(step), std::string(peer), std::string(detail) });
}

/** Returns @p failure as key=value pairs for the log. */
std::string describe(const Failure &failure);

/**
 * Runs @p operation, which returns a Result<T>, and passes its Failure to @p onFailure, which returns a T.
 * Results must be handled inside such a call: LEAF discards error objects for which no handler is active.
 */
template <typename Operation, typename OnFailure>
auto handleFailure(Operation &&operation, OnFailure &&onFailure)
{
    return boost::leaf::try_handle_all(
        std::forward<Operation>(operation),
        [&](const Failure &failure) {
            return onFailure(failure);
        },
        [&] {
            return onFailure(Failure{ "unknown", "", "error without details" });
        });
}

} // namespace sapphirecove::state
