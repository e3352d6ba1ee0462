#include "transport/outside/logreader.h"

#include "transport/log.h"
#include "transport/pause.h"

#include <optional>
#include <string>
#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;

namespace {

constexpr std::size_t PageSize = 1000;
constexpr state::Duration LongPollTimeout = std::chrono::seconds(1);

/** Time allowed for a read in addition to the long poll. */
constexpr state::Duration ReadMargin = std::chrono::seconds(2);
constexpr state::Duration CongestionPause = std::chrono::milliseconds(10);

std::optional<protocol::LogReadResponse>
decode(state::Stream stream, const std::string &body, const std::string &peer, state::Failure &failure)
{
    return state::handleFailure(
        [&]() -> state::Result<std::optional<protocol::LogReadResponse>> {
            auto response = protocol::decodeReadResponse(stream, body, peer);
            if (!response) {
                return response.error();
            }
            return std::optional<protocol::LogReadResponse>(std::move(response.value()));
        },
        [&](const state::Failure &error) {
            failure = error;
            return std::optional<protocol::LogReadResponse>();
        });
}

} // namespace

LogReader::LogReader(
    const asio::any_io_executor &executor, state::Stream stream, Endpoint log, EventSender &events, std::uint64_t seed)
    : m_stream(stream)
    , m_client(executor, std::move(log))
    , m_events(events)
    , m_backoff(seed)
{
}

asio::awaitable<void> LogReader::run()
{
    for (;;) {
        while (m_events.isCongested()) {
            co_await pauseFor(CongestionPause);
        }
        const bool read = co_await readOnce();
        if (read) {
            m_reachable = true;
            m_backoff.reset();
            continue;
        }
        m_events.send(coordination::LogUnavailable{ m_stream });
        co_await pauseFor(m_backoff.next());
    }
}

asio::awaitable<bool> LogReader::readOnce()
{
    HttpCall call;
    // No long poll until the end was reached once: the host rejects requests with idempotency keys until then.
    call.path = protocol::readPath(m_stream, m_next, PageSize, m_reachedEnd ? LongPollTimeout : state::Duration(0));
    const auto outcome = co_await m_client.send(std::move(call), LongPollTimeout + ReadMargin);
    const auto peer = toString(m_client.endpoint());
    state::Failure failure{ "log.read", peer, "status " + std::to_string(outcome.status) };
    auto page = outcome.ok() ? decode(m_stream, outcome.body, peer, failure) : std::nullopt;
    if (page && page->next < m_next) {
        failure.detail = "the response ends before an offset that was already read";
        page.reset();
    }
    if (!page) {
        if (std::exchange(m_reachable, false)) {
            logFailure("log_unavailable", outcome.failure.value_or(failure));
        }
        co_return false;
    }
    report(std::move(*page));
    co_return true;
}

void LogReader::report(protocol::LogReadResponse page)
{
    for (const auto &unreadable : page.unreadable) {
        const auto detail = "offset " + std::to_string(unreadable.offset) + ": " + unreadable.detail;
        logFailure("log_record_unreadable", state::Failure{ "log.read", toString(m_client.endpoint()), detail });
    }
    coordination::RecordsRead event;
    event.stream = m_stream;
    event.first = page.first;
    event.next = page.next;
    event.atEnd = page.records.size() + page.unreadable.size() < PageSize;
    std::erase_if(page.records, [this](const state::StoredRecord &record) {
        return record.offset < m_next;
    });
    event.records = std::move(page.records);
    m_next = page.next;
    m_reachedEnd = m_reachedEnd || event.atEnd;
    m_events.send(std::move(event));
}

} // namespace sapphirecove::transport
