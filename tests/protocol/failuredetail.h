#pragma once

#include "state/failure.h"

#include <string>

namespace sapphirecove::tests {

/** Runs @p operation and returns the detail of its Failure; empty if it succeeds. */
template <typename Operation>
std::string failureDetail(Operation &&operation)
{
    return state::handleFailure(
        [&]() -> state::Result<std::string> {
            BOOST_LEAF_CHECK(operation());
            return std::string();
        },
        [](const state::Failure &failure) {
            return failure.detail;
        });
}

/** Runs @p operation and returns its value; throws the Failure's detail if it fails. */
template <typename Operation>
auto valueOf(Operation &&operation)
{
    return state::handleFailure(std::forward<Operation>(operation),
                                [](const state::Failure &failure) -> decltype(operation().value()) {
                                    throw std::runtime_error(state::describe(failure));
                                });
}

} // namespace sapphirecove::tests
