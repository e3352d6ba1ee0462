#include "transport/outside/hostlistpoller.h"

#include "protocol/platformcodec.h"
#include "transport/log.h"
#include "transport/pause.h"

#include <optional>
#include <string>
#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;

namespace {

constexpr state::Duration PollTimeout = std::chrono::seconds(2);

} // namespace

HostListPoller::HostListPoller(const asio::any_io_executor &executor,
                               Endpoint hostList,
                               state::Duration interval,
                               EventSender &events)
    : m_client(executor, std::move(hostList))
    , m_interval(interval)
    , m_events(events)
{
}

asio::awaitable<void> HostListPoller::run()
{
    for (;;) {
        co_await pollOnce();
        co_await pauseFor(m_interval);
    }
}

asio::awaitable<void> HostListPoller::pollOnce()
{
    HttpCall call;
    call.path = "/v1/hosts";
    const auto outcome = co_await m_client.send(std::move(call), PollTimeout);
    const auto peer = toString(m_client.endpoint());
    state::Failure failure{ "host_list.read", peer, "status " + std::to_string(outcome.status) };
    auto list = state::handleFailure(
        [&]() -> state::Result<std::optional<state::HostList>> {
            if (!outcome.ok()) {
                return std::optional<state::HostList>();
            }
            auto read = protocol::decodeHostList(outcome.body, peer);
            if (!read) {
                return read.error();
            }
            return std::optional<state::HostList>(std::move(read.value()));
        },
        [&](const state::Failure &error) {
            failure = error;
            return std::optional<state::HostList>();
        });
    if (list) {
        m_reachable = true;
        m_events.send(coordination::HostListRead{ std::move(*list) });
    } else if (std::exchange(m_reachable, false)) {
        logFailure("host_list_unavailable", outcome.failure.value_or(failure));
    }
}

} // namespace sapphirecove::transport
