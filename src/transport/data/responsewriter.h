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

/** Status and fields of an answer. */
struct ResponseHead
{
    int status = 200;
    boost::beast::http::fields fields; /**< end-to-end fields */
    std::optional<std::uint64_t> length; /**< of the body; a chunked answer is sent if it is absent */
};

/** How a caller's request bounds its answer. */
struct ResponseOptions
{
    bool keepAlive = true;
    bool withoutBody = false; /**< answer to HEAD */
};

/**
 * Writes one answer to a caller's connection. After a failed write the rest is dropped silently, so that the answer
 * of a target can be read to its end although the caller has gone. Writes wait for the caller, which gives
 * back-pressure; a caller that takes nothing for a minute counts as gone.
 */
class ResponseWriter
{
public:
    ResponseWriter(boost::asio::ip::tcp::socket &socket, ResponseOptions options);

    /** Prepares the header; it is sent together with the first bytes of the body. */
    void begin(const ResponseHead &head);

    /** Sends the next bytes of the body. */
    boost::asio::awaitable<void> write(std::string_view bytes);

    /** Sends the last bytes of the body and the mark of its end. */
    boost::asio::awaitable<void> finish(std::string_view bytes);

    /** Sends a whole answer. */
    boost::asio::awaitable<void> send(ResponseHead head, std::string_view body);

    /** Sends a problem document; @p status replaces the status of the reason if it is set. */
    boost::asio::awaitable<void> sendProblem(const coordination::Refusal &refusal, std::optional<int> status = {});

    /** Drops the rest of the answer; closes the connection if a write is waiting for the caller. */
    void abort();

    /** Returns whether a part of the answer may have been sent. */
    bool begun() const
    {
        return m_begun;
    }

    /** Returns whether the whole answer was sent and the connection can serve another request. */
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
    bool m_begun = false;
    bool m_writing = false;
    bool m_finished = false;
    bool m_broken = false;
};

} // namespace sapphirecove::transport
