#pragma once

#include "coordination/refusal.h"
#include "transport/watchdog.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::transport {

/** Status and header fields of a response. */
struct ResponseHead
{
    int status = 200;
    boost::beast::http::fields fields; /**< end-to-end fields */
    std::optional<std::uint64_t> length; /**< of the body; if absent, the response is chunked */
};

/** Properties of the response that follow from the caller's request. */
struct ResponseOptions
{
    bool keepAlive = true;
    bool withoutBody = false; /**< response to HEAD */
};

/**
 * Writes one response to a caller's connection. After a failed write, the rest is silently discarded, so that the
 * response of a target can still be read to its end after the caller has disconnected. Writes wait for the caller,
 * which gives back-pressure; a caller that reads nothing for a minute counts as disconnected.
 */
class ResponseWriter
{
public:
    ResponseWriter(boost::asio::ip::tcp::socket &socket, ResponseOptions options);

    /** Prepares the header; it is sent together with the first bytes of the body. */
    void begin(const ResponseHead &head);

    /** Sends the next bytes of the body. */
    boost::asio::awaitable<void> write(std::string_view bytes);

    /** Sends the last bytes of the body and, if the response is chunked, the last chunk. */
    boost::asio::awaitable<void> finish(std::string_view bytes);

    /** Sends a complete response. */
    boost::asio::awaitable<void> send(ResponseHead head, std::string_view body);

    /** Sends a problem document; @p status, if set, overrides the HTTP status of the refusal's reason. */
    boost::asio::awaitable<void> sendProblem(const coordination::Refusal &refusal, std::optional<int> status = {});

    /** Discards the rest of the response; closes the connection if a write is waiting for the caller. */
    void abort();

    /** Returns whether a part of the response may have been sent. */
    bool started() const
    {
        return m_started;
    }

    /** Returns whether the whole response was sent and the connection can serve another request. */
    bool reusable() const
    {
        return m_finished && !m_broken && m_options.keepAlive;
    }

private:
    template <typename Buffers>
    boost::asio::awaitable<void> transmit(const Buffers &buffers);

    boost::asio::ip::tcp::socket &m_socket;
    ResponseOptions m_options;
    Watchdog m_watchdog;
    std::string m_unsentHeader;
    bool m_chunked = false;
    bool m_started = false;
    bool m_writing = false;
    bool m_finished = false;
    bool m_broken = false;
};

} // namespace sapphirecove::transport
