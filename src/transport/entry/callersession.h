#pragma once

#include "transport/boundedread.h"
#include "transport/entry/exchange.h"
#include "transport/entry/servingcontext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>
#include <string_view>

namespace sapphirecove::transport::entry {

/** Connection of a caller; carries its requests one after the other. */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(ServingContext &context, boost::asio::ip::tcp::socket socket);

    /** Serves requests until the connection ends. */
    boost::asio::awaitable<void> run();

    /** Ends the connection if a read has timed out, and checks the timeouts of the current request. */
    void checkTimeouts(state::Time now);

    /** Returns whether no request has begun to arrive and none is being served. */
    bool idle() const
    {
        return !m_exchange && !m_receiving && !m_ending && !hasUnreadBytes();
    }

    /** Ends the connection if no request is being received or served. */
    void closeIfIdle();

private:
    /** What the connection waits for while it reads. */
    enum class ReadPhase { FirstByte, Header, Body };

    static std::string_view nameOf(ReadPhase phase);
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<std::optional<Request>> readRequest();
    boost::asio::awaitable<void> rejectRequest(const boost::system::error_code &error, bool tooSlow);
    void watchForDisconnect();
    state::entry::CallerLimits currentLimits() const;
    void setReadDeadline(ReadPhase phase, state::Duration timeout);
    void recordClose(std::string_view cause);
    bool hasUnreadBytes() const;
    void cancelRead();

    ServingContext &m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Exchange> m_exchange;
    std::optional<ByteBudget::Share> m_requestBytes; /**< of the request that is received or served */
    std::optional<state::Time> m_readDeadline;
    ReadPhase m_readPhase = ReadPhase::FirstByte;
    state::Time m_readPhaseSince{};
    bool m_readTimedOut = false;
    bool m_ending = false; /**< the last response is being written, or the connection closed after it */
    bool m_receiving = false; /**< a request has begun to arrive */
    bool m_watching = false; /**< watchForDisconnect() waits for readable bytes */
};

} // namespace sapphirecove::transport::entry
