#pragma once

#include "coordination/action.h"
#include "coordination/requestinfo.h"
#include "state/configuration.h"
#include "transport/signal.h"

#include <boost/beast/http/fields.hpp>

#include <functional>
#include <optional>
#include <string>

namespace sapphirecove::transport {

/** Request as it is forwarded to a target. */
struct ForwardedRequest
{
    state::PoolKind kind = state::PoolKind::Model;
    std::string method;
    std::string path;
    boost::beast::http::fields fields; /**< end-to-end fields of the caller */
    std::string body;
    bool stream = false; /**< the caller expects a stream of server-sent events */
};

/**
 * Accepted request of a caller until its response is complete, with the decisions about it that are still to be
 * carried out. Used by the data thread only.
 */
struct ActiveRequest
{
    explicit ActiveRequest(const boost::asio::any_io_executor &executor)
        : signal(executor)
    {
    }

    /** Returns whether the exchange with the target must end because it was cancelled or the request was refused. */
    bool stopRequested() const
    {
        return cancelled || refusal.has_value();
    }

    /** Wakes the coroutine that serves the request; aborts the exchange with the target if it must end. */
    void notifyChange()
    {
        if (stopRequested() && interrupt) {
            interrupt();
        }
        signal.notify();
    }

    coordination::RequestInfo info;
    ForwardedRequest forwarded;
    std::optional<coordination::Dispatch> dispatch; /**< decided, but not started yet */
    std::optional<coordination::Refusal> refusal; /**< decided, but not sent to the caller yet */
    bool cancelled = false;
    bool callerDisconnected = false;
    bool responseStarted = false; /**< the first byte of the response body was received from the target */
    bool refusalIgnored = false; /**< a refusal was decided after the response had started */
    std::function<void()> interrupt; /**< aborts the running exchange with the target */
    Signal signal;
};

} // namespace sapphirecove::transport
