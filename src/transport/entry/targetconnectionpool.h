#pragma once

#include "protocol/endpoint.h"
#include "state/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sapphirecove::transport::entry {

/** Largest unparsed part of a response that a connection buffers; several times a large header. */
constexpr std::size_t MaxUnparsedBytes = std::size_t{ 256 } * 1024;

/** Connection to a target. It serves one request at a time. */
struct TargetConnection
{
    explicit TargetConnection(const boost::asio::any_io_executor &executor)
        : socket(executor)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{ MaxUnparsedBytes }; /**< a read fails when it is full */
    bool used = false; /**< a request was sent on it */
    state::Time idleSince{};
    state::Duration idleTimeout{}; /**< the target closes it after this idle time */
};

/** Pool of idle connections to targets. */
class TargetConnectionPool
{
public:
    /** Returns an idle connection to the incarnation @p target that is still open; nullptr if there is none. */
    std::unique_ptr<TargetConnection> acquire(const std::string &target, state::Time now);

    /** Keeps @p connection for a later request if its idle timeout permits and @p target has fewer than @p limit. */
    void release(const std::string &target,
                 std::unique_ptr<TargetConnection> connection,
                 std::size_t limit,
                 state::Time now);

    /** Closes connections that have been idle for too long. */
    void closeExpired(state::Time now);

    /** Closes the idle connections of @p target. */
    void closeAll(const std::string &target);

private:
    std::map<std::string, std::deque<std::unique_ptr<TargetConnection>>> m_idle;
};

} // namespace sapphirecove::transport::entry
