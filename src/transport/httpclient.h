#pragma once

#include "protocol/endpoint.h"
#include "state/failure.h"
#include "state/time.h"
#include "transport/watchdog.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/verb.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace sapphirecove::transport {

using protocol::Endpoint;

/** HTTP request to another process, with its complete body. */
struct HttpCall
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string path;
    std::string body;
    std::string bearerKey; /**< empty for none */
    std::string responseField; /**< field of the response's header that the caller needs; empty for none */
};

/**
 * Outcome of a call: a response or a failure. It is not a state::Result, because LEAF keeps error objects only for
 * the current scope of the current thread, and a coroutine leaves that scope whenever it suspends.
 */
struct HttpOutcome
{
    std::optional<state::Failure> failure;
    int status = 0;
    std::string body;
    std::optional<std::string> field; /**< value of HttpCall::responseField */

    /** Returns whether a response with a 2xx status was received. */
    bool ok() const
    {
        return !failure && status / 100 == 2;
    }
};

/**
 * HTTP client for one address, with one keep-alive connection. Calls must not overlap. A call is never retried;
 * instead, an idle connection is checked for a close by the server before it is reused.
 */
class HttpClient
{
public:
    /** Largest response body of services that this project trusts; a full page of the log is smaller. */
    static constexpr std::uint64_t DefaultMaxResponseBytes = std::uint64_t{ 64 } * 1024 * 1024;

    /** Step of the failure of a call if no connection was made and hence nothing was sent. */
    static constexpr const char *ConnectStep = "connect";

    HttpClient(const boost::asio::any_io_executor &executor,
               Endpoint endpoint,
               std::uint64_t maxResponseBytes = DefaultMaxResponseBytes);

    /** Sends @p call and reads the complete response within @p timeout, which includes the time to connect. */
    boost::asio::awaitable<HttpOutcome> send(HttpCall call, state::Duration timeout);

    /** Aborts the running call and closes the connection. */
    void close();

    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

private:
    boost::asio::awaitable<HttpOutcome> attempt(HttpCall call);
    boost::asio::awaitable<boost::system::error_code> ensureConnected();
    HttpOutcome closeAndFail(const char *step, const boost::system::error_code &error);

    Endpoint m_endpoint;
    std::uint64_t m_maxResponseBytes;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    Watchdog m_watchdog;
};

} // namespace sapphirecove::transport
