#pragma once

#include "tests/coordination/entry/requests.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sapphirecove::tests::entry {

/** How the new version answers a request. */
struct Behaviour
{
    double failureShare = 0;
    double slowness = 1; /**< multiple of the usual time */
};

/** Rollout of the plain service "orders", with three targets of each version, to simulate. */
struct RolloutScenario
{
    std::uint64_t seed = 1;
    double requestsPerSecond = 27;
    double orderSeconds = 15;
    double faultyRequestShare = 0.04; /**< requests that fail at every target, of both versions */
    std::function<Behaviour(const std::string &route, double elapsedSeconds)> newVersion; /**< good if not set */
    std::optional<double> deciderDiesAtSeconds; /**< then another host, which got its reports, decides */
};

/** Result of a simulated rollout, from the order to its deadline. */
struct RolloutOutcome
{
    state::entry::RolloutState state = state::entry::RolloutState::Running;
    double endedAtSeconds = 0; /**< after the order */
    std::string reason; /**< of the last change of its phase or state */
    double sentToNew = 0; /**< requests that targets of the new version got */
    double sentToAll = 0;
    double failedAtNew = 0;

    /** Returns how many requests a bad version may get. */
    double allowed(const state::entry::Bounds &bounds) const
    {
        return bounds.rolloutShare * sentToAll + bounds.rolloutSlack;
    }
};

/** Plays @p scenario against one decider, or two one after the other. */
RolloutOutcome simulateRollout(const RolloutScenario &scenario);

} // namespace sapphirecove::tests::entry
