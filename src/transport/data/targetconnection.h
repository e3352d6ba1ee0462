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
    ~TargetConnection();

    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;

    /** Connects to @p endpoint; fails with a time-out after @p limit. */
    boost::asio::awaitable<boost::system::error_code> connect(const Endpoint &endpoint, state::Duration limit);

    /**
     * Begins to send @p request. The response is read meanwhile, as a target may respond to a long request early and
     * read no further; that it could not be sent shows as a connection without a response.
     */
    void send(Request request);

    /**
     * Reads the header of the response within @p limit after the request was sent; @p withoutBody is set for the
     * response to a HEAD request.
     */
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
    /** Request that is being sent, and the socket on which; both outlive a connection that is closed meanwhile. */
    struct Sending
    {
        boost::asio::ip::tcp::socket socket;
        Request request;
        RequestWrite progress;
        TargetConnection *connection = nullptr; /**< nullptr once it has another socket or is gone */
    };

    TargetIoStatus classify(const boost::system::error_code &error) const;
    void sent();
    void detach();

    boost::asio::any_io_executor m_executor;
    Watchdog m_watchdog;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<Sending> m_current; /**< a new one for each connection */
    std::optional<state::Duration> m_headLimit; /**< while the header is read */
    std::optional<ResponseReader> m_response;
    std::vector<char> m_chunk;
    std::size_t m_chunkSize = 0;
    bool m_closed = false;
};

} // namespace sapphirecove::transport
