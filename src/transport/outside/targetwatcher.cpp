#include "transport/outside/targetwatcher.h"

#include "protocol/platformcodec.h"
#include "transport/log.h"
#include "transport/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <optional>
#include <string>
#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;

namespace {

constexpr state::Duration PollTimeout = std::chrono::seconds(1);

/** Returns the value of @p read, or nullopt if it failed; only the first of consecutive failures is logged. */
template <typename Value, typename Read>
std::optional<Value> valueOf(Read read, bool &reported)
{
    return state::handleFailure(
        [&]() -> state::Result<std::optional<Value>> {
            auto result = read();
            if (!result) {
                return result.error();
            }
            reported = false;
            return std::optional<Value>(std::move(result.value()));
        },
        [&](const state::Failure &failure) {
            if (!std::exchange(reported, true)) {
                logFailure("target_report_unreadable", failure);
            }
            return std::optional<Value>();
        });
}

} // namespace

TargetWatcher::TargetWatcher(const asio::any_io_executor &executor,
                             coordination::WatchedTarget target,
                             state::Duration interval,
                             EventSender &events)
    : m_executor(executor)
    , m_target(std::move(target))
    , m_interval(interval)
    , m_events(events)
    , m_client(executor, Endpoint{ m_target.address, m_target.port })
{
}

void TargetWatcher::start(state::Duration delay)
{
    asio::co_spawn(
        m_executor,
        [self = shared_from_this(), delay] {
            return self->run(delay);
        },
        asio::detached);
}

void TargetWatcher::stop()
{
    m_stopped = true;
    m_client.close();
}

asio::awaitable<void> TargetWatcher::run(state::Duration delay)
{
    co_await pauseFor(delay);
    while (!m_stopped) {
        co_await readLoad();
        if (!m_stopped) {
            co_await readCacheEvents();
        }
        co_await pauseFor(m_interval);
    }
}

asio::awaitable<void> TargetWatcher::readLoad()
{
    HttpCall call;
    call.path = "/v1/load";
    const auto outcome = co_await m_client.send(std::move(call), PollTimeout);
    if (!outcome.ok() || m_stopped || m_events.isCongested()) {
        co_return;
    }
    auto report = valueOf<coordination::LoadReported>(
        [&] {
            return protocol::decodeLoadReport(outcome.body, m_target.target, toString(m_client.endpoint()));
        },
        m_loadFailureReported);
    if (report) {
        m_events.send(std::move(*report));
    }
}

asio::awaitable<void> TargetWatcher::readCacheEvents()
{
    HttpCall call;
    call.path = "/v1/cache_events?from=" + std::to_string(m_nextCacheEvent);
    const auto outcome = co_await m_client.send(std::move(call), PollTimeout);
    if (!outcome.ok() || m_stopped || m_events.isCongested()) {
        co_return;
    }
    auto response = valueOf<protocol::CacheEventsResponse>(
        [&] {
            return protocol::decodeCacheEvents(
                outcome.body, m_target.target, m_nextCacheEvent, toString(m_client.endpoint()));
        },
        m_cacheFailureReported);
    if (!response) {
        co_return;
    }
    // A lower offset means that the engine has restarted with an empty cache, so its known content is out of date.
    response->change.gap = response->change.gap || response->next < m_nextCacheEvent;
    m_nextCacheEvent = response->next;
    const auto &change = response->change;
    if (change.gap || !change.added.empty() || !change.removed.empty()) {
        m_events.send(std::move(response->change));
    }
}

} // namespace sapphirecove::transport
