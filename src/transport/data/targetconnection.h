#pragma once

#include "state/time.h"
#include "transport/httpclient.h"
#include "transport/responsereader.h"
#include "transport/watchdog.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace sapphirecove::transport {

/** Result of one read or write on a connection to a target. */
enum class TargetIoStatus {
    Ok,
    ConnectionLost, /**< the connection was closed, failed or timed out */
    Malformed, /**< the target sent something that is not HTTP; see isMalformedResponse() */
};

/**
 * Connection to a target for a single request. Connections are not reused: a target may close an idle connection at any
 * time, and for a request that was just written to it, it would be unknown whether it ran, so that it could not safely
 * be retried. At the planned 16 requests per second and host, a connection for each request is cheap.
 */
class TargetConnection
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    TargetConnection(const boost::asio::any_io_executor &executor, std::size_t chunkBytes);

    /** Connects to @p endpoint; fails with a time-out after @p limit. */
    boost::asio::awaitable<boost::system::error_code> connect(const Endpoint &endpoint, state::Duration limit);

    /** Sends @p request; after an error, a part of it may have been sent, and its response may have arrived. */
    boost::asio::awaitable<TargetIoStatus> send(const Request &request);

    /** Reads the header of the response within @p limit; @p withoutBody is set for the response to a HEAD request. */
    boost::asio::awaitable<TargetIoStatus> readHead(state::Duration limit, bool withoutBody);

    /** Reads the next bytes of the body; see chunk(). */
    boost::asio::awaitable<TargetIoStatus> readBody();

    /** Returns the bytes read by the last readBody(). */
    std::string_view chunk() const
    {
        return { m_chunk.data(), m_chunkSize };
    }

    /** Returns the header of the response; valid after readHead(). */
    const ResponseReader::Header &head() const
    {
        return m_response->header();
    }

    /** Returns the Content-Length of the response, if it has one. */
    std::optional<std::uint64_t> contentLength() const
    {
        return m_response->contentLength();
    }

    /** Returns whether the whole response was read. */
    bool complete() const
    {
        return m_response && m_response->complete();
    }

    /** Aborts the running operation and closes the connection. */
    void close();

private:
    TargetIoStatus classify(const boost::system::error_code &error) const;

    boost::asio::ip::tcp::socket m_socket;
    Watchdog m_watchdog;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<RequestWrite> m_request; /**< write of the request on the current connection */
    std::optional<ResponseReader> m_response;
    std::vector<char> m_chunk;
    std::size_t m_chunkSize = 0;
    bool m_closed = false;
};

} // namespace sapphirecove::transport
