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
 * Carries out one Dispatch: sends a request to its target once and forwards the answer.
 *
 * Reports DispatchRefused if nothing was sent, otherwise DispatchStarted and later exactly one DispatchFinished. An
 * interrupted stream is resumed; the request itself is never sent a second time.
 */
class TargetExchange
{
public:
    TargetExchange(const DataContext &context,
                   ActiveRequest &request,
                   ResponseWriter &answer,
                   coordination::Dispatch dispatch);

    /** Returns false if nothing was sent, so that the request may be dispatched again. */
    boost::asio::awaitable<bool> run();

private:
    /** How the exchange ended. */
    struct Verdict
    {
        coordination::GrantOutcome outcome = coordination::GrantOutcome::Complete;
        std::optional<coordination::Refusal> refusal; /**< for the caller, if no byte has gone to it */
        std::string detail;
    };

    boost::asio::awaitable<bool> start();
    bool refuseStart(const std::string &detail, bool targetRefused);
    boost::asio::awaitable<Verdict> transfer();
    boost::asio::awaitable<Verdict> forwardDocument();
    boost::asio::awaitable<Verdict> forwardHeld(const ResponseHead &head, const std::string &body);
    boost::asio::awaitable<Verdict> forwardLarge(ResponseHead head, std::string first);
    boost::asio::awaitable<Verdict> forwardStream();
    boost::asio::awaitable<Verdict> resumeStream(std::string cause);
    boost::asio::awaitable<bool> reopenStream();
    boost::asio::awaitable<TargetIoStatus> relayEvents();
    boost::asio::awaitable<void> conclude(Verdict verdict);
    bool readChatAnswer(std::string_view body);
    TargetConnection::Request requestForTarget() const;
    bool expectsStream() const;
    bool answersWithStream() const;
    ResponseHead headForCaller() const;
    void noteFirstToken();
    void interrupt();
    coordination::DispatchFinished finishedEvent(const Verdict &verdict) const;
    static Verdict cut(const std::string &detail);
    static Verdict malformed(const std::string &detail);

    const DataContext &m_context;
    ActiveRequest &m_request;
    ResponseWriter &m_answer;
    coordination::Dispatch m_dispatch;
    TargetConnection m_connection;
    boost::asio::steady_timer m_pause;
    EventRelay m_relay;
    ResponseHead m_streamHead;
    std::optional<protocol::Usage> m_usage; /**< of an answer that was not streamed */
    state::Time m_startedAt{};
    state::Duration m_timeToFirstToken{};
    int m_status = 0;
    bool m_forwardsEvents = false; /**< the answer is a stream of events */
    bool m_firstTokenSeen = false;
};

/** Tells an engine that nobody waits for a stream any more; the outcome is not needed, so it is not awaited. */
void cancelAtTarget(const boost::asio::any_io_executor &executor, Endpoint target, const state::RequestId &request);

} // namespace sapphirecove::transport
