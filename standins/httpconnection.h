#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::standins {

namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Headers = std::map<std::string, std::string>;

/** Path and query of a request target. */
struct RequestTarget
{
    std::string path;
    std::map<std::string, std::string> query;

    /** Returns the query parameter @p name as a number, or @p fallback if it is missing or not a number. */
    std::int64_t number(const std::string &name, std::int64_t fallback) const;
};

/** Splits @p target into path and query parameters; percent escapes are not decoded. */
RequestTarget parseTarget(std::string_view target);

/**
 * Server side of one client connection. Each request gets one response, at any later time, whole or chunked; the next
 * request is read after the response has been written. Everything runs on the thread of the socket's io_context.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpConnection>)>;

    HttpConnection(boost::asio::ip::tcp::socket socket, Handler handler);

    /** Reads the first request. */
    void start();

    const Request &request() const
    {
        return m_parser->get();
    }
    bool isOpen() const
    {
        return m_socket.is_open();
    }
    /** Response bytes not yet written to the socket. */
    std::size_t pendingBytes() const
    {
        return m_pendingOutput.size() + m_outputInFlight.size();
    }

    /** Sends the whole response to the current request, with a JSON body. */
    void reply(unsigned status, const boost::json::value &body, const Headers &headers = {});

    /** Starts a chunked response with status 200. */
    void beginChunks(const std::string &contentType, const Headers &headers = {});
    /** Sends the next chunk; empty data is ignored, as an empty chunk would end the response. */
    void writeChunk(std::string_view data);
    /** Ends a chunked response. */
    void endChunks();

    /** Closes the connection without completing the response. */
    void abort();

private:
    void readRequest();
    void finishResponse();
    void flush();
    void handleWritten(boost::system::error_code error);

    boost::asio::ip::tcp::socket m_socket;
    Handler m_handler;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::string m_pendingOutput;
    std::string m_outputInFlight;
    bool m_isResponseComplete = false;
};

} // namespace sapphirecove::standins
