#pragma once

#include "state/time.h"
#include "transport/httpclient.h"
#include "transport/watchdog.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <string_view>
#include <vector>

namespace sapphirecove::transport {

/** Why a step with a target ended. */
enum class TargetIoStatus {
    Ok,
    Cut, /**< the connection ended, failed or was silent for too long */
    Malformed, /**< the target sent something that is not HTTP */
};

/**
 * One connection to a target for one request. Connections to targets are not kept: a kept one may be closed by the
 * target at any time, and a request written to it would be neither safely repeatable nor certainly executed. At the
 * planned 16 requests per second and host, one connection for each is cheap.
 */
class TargetConnection
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::buffer_body>;

    TargetConnection(const boost::asio::any_io_executor &executor, std::size_t chunkBytes);

    /** Connects within @p limit. */
    boost::asio::awaitable<boost::system::error_code> connect(const Endpoint &endpoint, state::Duration limit);

    /** Sends @p request; an error means that a part of it may have been sent. */
    boost::asio::awaitable<TargetIoStatus> send(const Request &request);

    /** Reads the header of the answer within @p limit; @p withoutBody tells that it answers HEAD. */
    boost::asio::awaitable<TargetIoStatus> readHead(state::Duration limit, bool withoutBody);

    /** Reads the next bytes of the body; see chunk(). */
    boost::asio::awaitable<TargetIoStatus> readBody();

    /** Bytes of the last readBody(). */
    std::string_view chunk() const
    {
        return { m_chunk.data(), m_chunkSize };
    }

    /** Header of the answer; valid after readHead(). */
    const Response &head() const
    {
        return m_parser->get();
    }

    /** Declared length of the body, if there is one. */
    std::optional<std::uint64_t> contentLength() const;

    /** Returns whether the answer is complete. */
    bool complete() const
    {
        return m_parser && m_parser->is_done();
    }

    /** Aborts the running step and closes the connection. */
    void close();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    TargetIoStatus classify(const boost::system::error_code &error) const;

    boost::asio::ip::tcp::socket m_socket;
    Watchdog m_watchdog;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    std::vector<char> m_chunk;
    std::size_t m_chunkSize = 0;
    bool m_closed = false;
};

} // namespace sapphirecove::transport
