#pragma once

#include "coordination/action.h"
#include "transport/data/activerequest.h"
#include "transport/data/datacontext.h"
#include "transport/data/eventrelay.h"
#include "transport/data/responsewriter.h"
#include "transport/data/targetconnection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>

namespace sapphirecove::transport {

/**
 * Carries out one Dispatch: sends a request to its target once and forwards the response to the caller.
 *
 * Reports DispatchRefused if nothing was sent, otherwise DispatchStarted followed by exactly one DispatchFinished. An
 * interrupted stream is resumed; the request itself is never sent a second time.
 */
class TargetExchange
{
public:
    TargetExchange(const DataContext &context,
                   ActiveRequest &request,
                   ResponseWriter &writer,
                   coordination::Dispatch dispatch);

    /** Runs the exchange; returns false if nothing was sent, in which case the request may be dispatched again. */
    boost::asio::awaitable<bool> run();

private:
    /** Outcome of the exchange. */
    struct Result
    {
        coordination::GrantOutcome outcome = coordination::GrantOutcome::Complete;
        /** For the caller: a problem document, or an error event if a stream has started. */
        std::optional<coordination::Refusal> refusal;
        std::string detail;
    };

    boost::asio::awaitable<bool> start();
    bool refuseStart(const std::string &detail, bool targetRefused);
    boost::asio::awaitable<Result> transfer();
    boost::asio::awaitable<Result> forwardNonStreaming();
    boost::asio::awaitable<Result> forwardBuffered(const ResponseHead &head, const std::string &body);
    boost::asio::awaitable<Result> forwardUnbuffered(ResponseHead head, std::string first);
    boost::asio::awaitable<Result> forwardStream();
    boost::asio::awaitable<Result> resumeStream(std::string cause);
    boost::asio::awaitable<bool> reopenStream();
    boost::asio::awaitable<TargetIoStatus> relayEvents();
    boost::asio::awaitable<void> finish(Result result);
    bool readChatResponse(std::string_view body);
    TargetConnection::Request requestForTarget() const;
    bool expectsStream() const;
    bool isStreamResponse() const;
    ResponseHead responseHead() const;
    void recordFirstToken();
    void interrupt();
    coordination::DispatchFinished finishedEvent(const Result &result) const;
    static Result interruptedResult(const std::string &detail);
    static Result malformedResult(const std::string &detail);

    const DataContext &m_context;
    ActiveRequest &m_request;
    ResponseWriter &m_writer;
    coordination::Dispatch m_dispatch;
    TargetConnection m_connection;
    boost::asio::steady_timer m_resumeTimer;
    ByteBudget::Share m_bytes; /**< of the response, as far as it is kept */
    EventRelay m_relay;
    ResponseHead m_streamHead;
    std::optional<protocol::Usage> m_usage; /**< of a non-streaming response */
    state::Time m_startedAt{};
    state::Duration m_timeToFirstToken{};
    int m_status = 0;
    bool m_relaysEvents = false; /**< the response is a stream of server-sent events */
    bool m_firstTokenSeen = false;
};

/** Asks the engine to stop generating a stream that no caller waits for; does not wait for the result. */
void cancelAtTarget(const boost::asio::any_io_executor &executor, Endpoint target, const state::RequestId &request);

} // namespace sapphirecove::transport
