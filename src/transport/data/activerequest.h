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

/** Call as it is forwarded to a target. */
struct ForwardedRequest
{
    state::PoolKind kind = state::PoolKind::Model;
    std::string method;
    std::string path;
    boost::beast::http::fields fields; /**< end-to-end fields of the caller */
    std::string body;
    bool stream = false; /**< a stream of server-sent events is expected */
};

/**
 * Request of a caller from its acceptance to its final answer, and the decisions about it that have not been carried
 * out. Belongs to the data thread.
 */
struct ActiveRequest
{
    explicit ActiveRequest(const boost::asio::any_io_executor &executor)
        : signal(executor)
    {
    }

    /** Returns whether the exchange with the target must end: it was cancelled, or the request was refused. */
    bool stopRequested() const
    {
        return cancelled || refusal.has_value();
    }

    /** Reports a change to the coroutine that serves the request, and ends its wait for the target if it must stop. */
    void notifyChange()
    {
        if (stopRequested() && interrupt) {
            interrupt();
        }
        signal.notify();
    }

    coordination::RequestInfo info;
    ForwardedRequest forwarded;
    std::optional<coordination::Dispatch> dispatch; /**< decided and not begun */
    std::optional<coordination::Refusal> refusal; /**< decided and not answered */
    bool cancelled = false;
    bool callerDisconnected = false;
    bool responseStarted = false; /**< the first byte of the answer's body came from the target */
    bool refusalIgnored = false; /**< a refusal came after the answer had begun */
    std::function<void()> interrupt; /**< aborts the running exchange with the target */
    Signal signal;
};

} // namespace sapphirecove::transport
