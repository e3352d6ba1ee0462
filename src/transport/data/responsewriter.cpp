#include "transport/data/responsewriter.h"

#include "transport/hopbyhop.h"

#include "protocol/problemdocument.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>
#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/** Time after which a caller that takes no byte of its answer counts as gone. */
constexpr state::Duration StalledReaderLimit = std::chrono::seconds(60);

std::string headerText(const ResponseHead &head, const ResponseOptions &options)
{
    http::response<http::empty_body> response;
    response.version(11);
    response.result(static_cast<unsigned>(head.status));
    for (const auto &field : head.fields) {
        if (!isHopByHop(field.name())) {
            response.insert(field.name(), field.name_string(), field.value());
        }
    }
    if (head.length) {
        response.content_length(*head.length);
    } else if (!options.withoutBody) {
        response.chunked(true);
    }
    response.keep_alive(options.keepAlive);
    std::ostringstream text;
    text << response.base();
    return text.str();
}

} // namespace

ResponseWriter::ResponseWriter(asio::ip::tcp::socket &socket, ResponseOptions options)
    : m_socket(socket)
    , m_options(options)
    , m_watchdog(socket.get_executor(), [this] {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    })
{
}

void ResponseWriter::begin(const ResponseHead &head)
{
    m_begun = true;
    m_chunked = !head.length;
    m_unsentHeader = headerText(head, m_options);
}

asio::awaitable<void> ResponseWriter::write(std::string_view bytes)
{
    if (bytes.empty() || m_options.withoutBody) {
        co_return;
    }
    const std::string header = std::exchange(m_unsentHeader, {});
    const auto body = asio::buffer(bytes.data(), bytes.size());
    if (m_chunked) {
        co_await transmit(beast::buffers_cat(asio::const_buffer(asio::buffer(header)), http::make_chunk(body)));
    } else {
        co_await transmit(beast::buffers_cat(asio::const_buffer(asio::buffer(header)), asio::const_buffer(body)));
    }
}

asio::awaitable<void> ResponseWriter::finish(std::string_view bytes)
{
    co_await write(bytes);
    const std::string header = std::exchange(m_unsentHeader, {});
    if (m_chunked && !m_options.withoutBody) {
        co_await transmit(beast::buffers_cat(asio::const_buffer(asio::buffer(header)), http::make_chunk_last()));
    } else if (!header.empty()) {
        co_await transmit(asio::const_buffer(asio::buffer(header)));
    }
    m_finished = true;
}

asio::awaitable<void> ResponseWriter::send(ResponseHead head, std::string_view body)
{
    head.length = body.size();
    begin(head);
    co_await finish(body);
}

asio::awaitable<void> ResponseWriter::sendProblem(const coordination::Refusal &refusal, std::optional<int> status)
{
    ResponseHead head;
    head.status = status.value_or(httpStatus(refusal.reason));
    const auto mediaType = protocol::ProblemMediaType;
    head.fields.set(http::field::content_type, beast::string_view(mediaType.data(), mediaType.size()));
    if (const auto seconds = protocol::retryAfterSeconds(refusal)) {
        head.fields.set(http::field::retry_after, std::to_string(*seconds));
    }
    if (refusal.reason == coordination::RefusalReason::Unauthorized) {
        head.fields.set(http::field::www_authenticate, "Bearer");
    }
    const std::string body = protocol::encodeProblem(refusal);
    co_await send(std::move(head), body);
}

void ResponseWriter::abort()
{
    if (m_finished) {
        return;
    }
    if (m_writing) {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }
    m_broken = m_begun;
}

template <typename Buffers>
asio::awaitable<void> ResponseWriter::transmit(const Buffers &buffers)
{
    if (m_broken) {
        co_return;
    }
    m_watchdog.arm(StalledReaderLimit);
    m_writing = true;
    boost::system::error_code error;
    co_await asio::async_write(m_socket, buffers, asio::redirect_error(asio::use_awaitable, error));
    m_watchdog.disarm();
    m_writing = false;
    m_broken = m_broken || error;
}

} // namespace sapphirecove::transport
