#pragma once

#include "coordination/entry/scheduler.h"

#include <memory>
#include <stdexcept>
#include <string>

namespace sapphirecove::tests::entry {

using namespace sapphirecove::coordination::entry;

/** Start time of tests. */
constexpr state::Time Start{ std::chrono::hours(1) };

/** Returns a target of the model service "llm" in the failure domain "osu". */
inline state::entry::TargetEntry makeTarget(const std::string &id, std::uint32_t slots = 12)
{
    state::entry::TargetEntry entry;
    entry.id = id;
    entry.service = "llm";
    entry.address = "127.0.0.1";
    entry.port = 9000;
    entry.failureDomain = "osu";
    entry.softwareVersion = "v1";
    entry.slots = slots;
    entry.startedUnixMs = 1000;
    return entry;
}

/** Returns a request of a model route; routes are named by their priority. */
inline ScheduledRequest makeRequest(std::uint64_t id, int priority, double promptTokens, state::Time now = Start)
{
    ScheduledRequest request;
    request.id = id;
    request.service = "llm";
    request.route = "route-" + std::to_string(priority);
    request.priority = priority;
    request.latencyTarget = std::chrono::milliseconds(800);
    request.pauseTarget = std::chrono::milliseconds(300);
    request.arrived = now;
    request.deadline = now + std::chrono::milliseconds(3200);
    request.model = true;
    request.promptTokens = promptTokens;
    return request;
}

inline std::unique_ptr<Scheduler> makeScheduler(const state::entry::Bounds &bounds = {}, std::uint32_t self = 0)
{
    return state::handleFailure(
        [&] {
            return Scheduler::create(bounds, { "osu", "accra", { { "osu", "accra" }, { "adum", "kumasi" } } }, self);
        },
        [](const state::Failure &failure) -> std::unique_ptr<Scheduler> {
            throw std::runtime_error(describe(failure));
        });
}

/** Records in @p scheduler how fast @p target prefills and decodes, from one request that runs alone. */
inline void recordSpeed(
    Scheduler &scheduler, const std::string &target, double msPerPromptToken, double msPerEvent, state::Time now)
{
    TargetLoad *load = scheduler.targets().find(target);
    constexpr double tokens = 10000;
    const Work work{ true, tokens, 40 };
    const auto milliseconds = [](double value) {
        return state::durationFromSeconds(value / 1000);
    };
    load->dispatched(work);
    load->firstEvent(work, tokens, milliseconds(20 + tokens * msPerPromptToken));
    load->streamed(41, milliseconds(40 * msPerEvent));
    load->finished(work, true, AttemptOutcome::Served, now);
}

/** Returns a configuration with one customer of the given quota in cost a second and burst. */
inline state::entry::RoutingTable makeQuota(const std::string &customer, double rate, double burst)
{
    state::entry::Customer entry;
    entry.name = customer;
    entry.ratePerSecond = rate;
    entry.burst = burst;
    return state::entry::RoutingTable::create(1, {}, {}, { entry }, {});
}

} // namespace sapphirecove::tests::entry
