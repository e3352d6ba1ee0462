#include "transport/responsereader.h"

#include "transport/messageframing.h"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <string_view>
#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

/** Bytes that are read at once. */
constexpr std::size_t ReadBytes = 16384;

/** Informational (1xx) responses that are accepted before the final one; one or two are usual. */
constexpr int MaxInformationalResponses = 16;

class ResponseCategory final : public boost::system::error_category
{
public:
    const char *name() const noexcept override
    {
        return "response";
    }

    std::string message(int value) const override
    {
        switch (static_cast<ResponseError>(value)) {
        case ResponseError::InvalidStatus:
            return "status code outside 200 to 599";
        case ResponseError::FoldedField:
            return "line of the header that begins with a blank";
        case ResponseError::UnclearEnd:
            return "response without a clear end";
        case ResponseError::TooManyInformational:
            return "too many informational (1xx) responses";
        case ResponseError::MissingBody:
            return "response ended before its body, which has no stated length";
        case ResponseError::ConnectionFailed:
            return "connection failed in a body without a stated length";
        }
        return "unknown error";
    }
};

const ResponseCategory &responseCategory()
{
    static const ResponseCategory Category;
    return Category;
}

/** Returns whether one of the lines at the start of @p unparsed continues the line before it (obs-fold). */
bool hasFoldedLine(std::string_view unparsed)
{
    // The parser takes whole lines, so that what it has left begins with a line; an empty one ends the header.
    constexpr std::string_view lineEnd = "\r\n";
    for (std::size_t end = unparsed.find(lineEnd); end != 0 && end != unparsed.npos; end = unparsed.find(lineEnd)) {
        unparsed.remove_prefix(end + lineEnd.size());
        if (unparsed.starts_with(' ') || unparsed.starts_with('\t')) {
            return true;
        }
    }
    return false;
}

bool isInformational(const ResponseReader::Header &header)
{
    // No request asks for another protocol, so that 101 announces bytes that are no response.
    return header.result_int() / 100 == 1 && header.result() != http::status::switching_protocols;
}

error_code checkHeader(const ResponseReader::Header &header)
{
    const unsigned kind = header.result_int() / 100;
    if (kind < 2 || kind > 5) {
        return toErrorCode(ResponseError::InvalidStatus);
    }
    return hasClearFraming(header) ? error_code() : toErrorCode(ResponseError::UnclearEnd);
}

} // namespace

error_code toErrorCode(ResponseError error)
{
    return { static_cast<int>(error), responseCategory() };
}

bool isMalformedResponse(const error_code &error)
{
    if (error.category() == responseCategory()) {
        return error != toErrorCode(ResponseError::MissingBody)
            && error != toErrorCode(ResponseError::ConnectionFailed);
    }
    const bool ended = error == http::error::end_of_stream || error == http::error::partial_message;
    return !ended && error.category() == http::make_error_code(http::error::bad_version).category();
}

ResponseReader::ResponseReader(asio::ip::tcp::socket &socket,
                               beast::flat_buffer &buffer,
                               std::shared_ptr<const RequestWrite> request,
                               bool withoutBody,
                               ResponseLimits limits)
    : m_socket(socket)
    , m_buffer(buffer)
    , m_request(std::move(request))
    , m_withoutBody(withoutBody)
    , m_limits(limits)
{
}

asio::awaitable<error_code> ResponseReader::readHeader()
{
    for (int informational = 0; informational <= MaxInformationalResponses; ++informational) {
        const error_code error = co_await readOneHeader();
        if (error) {
            co_return error;
        }
        // The parser adds the fields of a trailer to the header that it holds.
        m_header = std::move(m_parser->get().base());
        if (!isInformational(m_header)) {
            m_complete = m_parser->is_done();
            co_return checkHeader(m_header);
        }
    }
    co_return toErrorCode(ResponseError::TooManyInformational);
}

asio::awaitable<error_code> ResponseReader::readOneHeader()
{
    m_parser.emplace();
    m_parser->header_limit(m_limits.headerBytes);
    m_parser->body_limit(m_limits.bodyBytes ? boost::optional<std::uint64_t>(*m_limits.bodyBytes) : boost::none);
    m_parser->skip(m_withoutBody);
    while (!m_parser->is_header_done()) {
        error_code error;
        const std::string_view unparsed(static_cast<const char *>(m_buffer.data().data()), m_buffer.size());
        if (hasFoldedLine(unparsed)) {
            co_return toErrorCode(ResponseError::FoldedField);
        }
        m_buffer.consume(m_parser->put(m_buffer.data(), error));
        if (error == http::error::need_more) {
            error = co_await readMore();
        }
        if (error) {
            co_return error;
        }
    }
    co_return error_code();
}

/** Reads bytes of a header into the buffer. */
asio::awaitable<error_code> ResponseReader::readMore()
{
    const std::size_t size = beast::read_size(m_buffer, ReadBytes);
    if (size == 0) {
        co_return http::error::buffer_overflow;
    }
    error_code error;
    const auto space = m_buffer.prepare(size);
    m_buffer.commit(co_await m_socket.async_read_some(space, asio::redirect_error(asio::use_awaitable, error)));
    if (error == asio::error::eof) {
        const bool begun = m_buffer.size() > 0 || m_parser->got_some();
        error = begun ? http::error::partial_message : http::error::end_of_stream;
    }
    co_return error;
}

asio::awaitable<error_code> ResponseReader::readBody(std::span<char> space, std::size_t &size)
{
    auto &body = m_parser->get().body();
    body.data = space.data();
    body.size = space.size();
    body.more = true;
    error_code error;
    co_await http::async_read_some(m_socket, m_buffer, *m_parser, asio::redirect_error(asio::use_awaitable, error));
    size = space.size() - body.size;
    m_hasBody = m_hasBody || size > 0;
    if (error == http::error::need_buffer) {
        error = {};
    }
    if (!error && m_parser->is_done() && endsWithConnection()) {
        error = co_await checkEndOfConnection();
    }
    m_complete = !error && m_parser->is_done();
    co_return error;
}

asio::awaitable<error_code> ResponseReader::readWholeBody(std::string &body)
{
    error_code error;
    while (!error && !m_complete) {
        const std::size_t size = body.size();
        std::size_t read = 0;
        body.resize(size + ReadBytes);
        error = co_await readBody(std::span(body).subspan(size), read);
        body.resize(size + read);
    }
    co_return error;
}

/** Returns why the end of the connection does not end the body; no error if it does. */
asio::awaitable<error_code> ResponseReader::checkEndOfConnection()
{
    if (!m_request->ended) {
        // The write may have failed before this read, and its handler may still be queued.
        co_await asio::post(m_socket.get_executor(), asio::use_awaitable);
    }
    // The system reports the failure of a connection once, to a write or to a read; the other one then sees an ordinary
    // end. A write that fails after the server has ended its side gets broken_pipe.
    const error_code written = m_request->error;
    if (written && written != asio::error::broken_pipe) {
        co_return toErrorCode(ResponseError::ConnectionFailed);
    }
    const bool success = m_header.result_int() / 100 == 2;
    co_return success && !m_hasBody ? toErrorCode(ResponseError::MissingBody) : error_code();
}

std::optional<std::uint64_t> ResponseReader::contentLength() const
{
    const auto length = m_parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

bool ResponseReader::keepsConnection() const
{
    const bool requestSent = m_request->ended && !m_request->error;
    return requestSent && m_parser->keep_alive() && !endsWithConnection() && m_buffer.size() == 0;
}

} // namespace sapphirecove::transport
