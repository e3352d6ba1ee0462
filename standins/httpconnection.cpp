#include "standins/httpconnection.h"

#include <boost/asio/write.hpp>

#include <charconv>
#include <sstream>

namespace sapphirecove::standins {

namespace {

/** Largest request body in bytes; above every limit that the product allows. */
constexpr std::uint64_t MaxRequestBodyBytes = 64ULL * 1024 * 1024;

template <typename Message>
std::string headerText(const Message &message)
{
    std::ostringstream text;
    text << message.base();
    return text.str();
}

} // namespace

std::int64_t RequestTarget::number(const std::string &name, std::int64_t fallback) const
{
    const auto found = query.find(name);
    if (found == query.end()) {
        return fallback;
    }
    std::int64_t value = 0;
    const char *end = found->second.data() + found->second.size();
    const auto result = std::from_chars(found->second.data(), end, value);
    return result.ec == std::errc() && result.ptr == end ? value : fallback;
}

RequestTarget parseTarget(std::string_view target)
{
    RequestTarget result;
    const auto queryStart = target.find('?');
    result.path = std::string(target.substr(0, queryStart));
    std::string_view rest = queryStart == std::string_view::npos ? std::string_view() : target.substr(queryStart + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view item = rest.substr(0, end);
        const auto equals = item.find('=');
        if (equals != std::string_view::npos) {
            result.query[std::string(item.substr(0, equals))] = std::string(item.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return result;
}

HttpConnection::HttpConnection(boost::asio::ip::tcp::socket socket, Handler handler)
    : m_socket(std::move(socket))
    , m_handler(std::move(handler))
{
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void HttpConnection::start()
{
    readRequest();
}

void HttpConnection::readRequest()
{
    m_parser.emplace();
    m_parser->body_limit(MaxRequestBodyBytes);
    m_isResponseComplete = false;
    http::async_read(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            if (error) {
                self->abort();
                return;
            }
            self->m_handler(self);
        });
}

void HttpConnection::reply(unsigned status, const boost::json::value &body, const Headers &headers)
{
    const std::string text = boost::json::serialize(body);
    http::response<http::empty_body> response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, "application/json");
    response.set(http::field::content_length, std::to_string(text.size()));
    for (const auto &[name, value] : headers) {
        response.set(name, value);
    }
    m_pendingOutput += headerText(response);
    m_pendingOutput += text;
    finishResponse();
}

void HttpConnection::beginChunks(const std::string &contentType, const Headers &headers)
{
    http::response<http::empty_body> response(http::status::ok, 11);
    response.set(http::field::content_type, contentType);
    response.set(http::field::transfer_encoding, "chunked");
    for (const auto &[name, value] : headers) {
        response.set(name, value);
    }
    m_pendingOutput += headerText(response);
    flush();
}

void HttpConnection::writeChunk(std::string_view data)
{
    if (data.empty()) {
        return;
    }
    std::ostringstream size;
    size << std::hex << data.size();
    m_pendingOutput += size.str();
    m_pendingOutput += "\r\n";
    m_pendingOutput += data;
    m_pendingOutput += "\r\n";
    flush();
}

void HttpConnection::endChunks()
{
    m_pendingOutput += "0\r\n\r\n";
    finishResponse();
}

void HttpConnection::abort()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void HttpConnection::finishResponse()
{
    m_isResponseComplete = true;
    flush();
}

void HttpConnection::flush()
{
    if (!m_outputInFlight.empty() || m_pendingOutput.empty() || !isOpen()) {
        return;
    }
    m_outputInFlight.swap(m_pendingOutput);
    boost::asio::async_write(m_socket,
                             boost::asio::buffer(m_outputInFlight),
                             [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                                 self->handleWritten(error);
                             });
}

void HttpConnection::handleWritten(boost::system::error_code error)
{
    m_outputInFlight.clear();
    if (error) {
        abort();
        return;
    }
    if (!m_pendingOutput.empty()) {
        flush();
        return;
    }
    if (!m_isResponseComplete) {
        return;
    }
    if (!request().keep_alive()) {
        abort();
        return;
    }
    readRequest();
}

} // namespace sapphirecove::standins
