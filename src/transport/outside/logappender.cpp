#include "transport/outside/logappender.h"

#include "protocol/logcodec.h"
#include "transport/log.h"

#include <string>
#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;

namespace {

constexpr state::Duration AppendTimeout = std::chrono::seconds(2);

} // namespace

LogAppender::LogAppender(const asio::any_io_executor &executor, Endpoint log, EventSender &events)
    : m_client(executor, std::move(log))
    , m_events(events)
    , m_signal(executor)
{
}

void LogAppender::append(coordination::AppendRecords action)
{
    if (m_queue.size() >= Capacity) {
        m_events.send(coordination::LogUnavailable{ action.stream });
        return;
    }
    m_queue.push_back(std::move(action));
    m_signal.notify();
}

asio::awaitable<void> LogAppender::run()
{
    for (;;) {
        co_await m_signal.wait([this] {
            return !m_queue.empty();
        });
        co_await appendNext();
    }
}

asio::awaitable<void> LogAppender::appendNext()
{
    const auto action = std::move(m_queue.front());
    m_queue.pop_front();
    HttpCall call;
    call.method = boost::beast::http::verb::post;
    call.path = protocol::appendPath(action.stream);
    call.body = protocol::encodeAppendBody(action.records);
    const auto outcome = co_await m_client.send(std::move(call), AppendTimeout);
    if (outcome.ok()) {
        co_return;
    }
    const state::Failure refused{ "log.append",
                                  toString(m_client.endpoint()),
                                  "status " + std::to_string(outcome.status) };
    logFailure("append_failed", outcome.failure.value_or(refused));
    m_events.send(coordination::LogUnavailable{ action.stream });
}

} // namespace sapphirecove::transport
