#pragma once

#include "coordination/entry/scheduler.h"
#include "protocol/eventsequence.h"
#include "transport/entry/requestadmission.h"
#include "transport/entry/responses.h"
#include "transport/entry/servingcontext.h"
#include "transport/entry/targetattempt.h"
#include "transport/entry/targethandover.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirecove::transport::entry {

/** One request of a caller from its arrival to its final response. */
class Exchange final
    : public StreamSink
    , public HandoverOwner
{
public:
    Exchange(ServingContext &context, boost::asio::ip::tcp::socket &caller, Request request, state::Time arrived);
    ~Exchange() override;

    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /** Serves the request; returns whether the caller's connection can carry another one. */
    boost::asio::awaitable<bool> run();

    /** Called when the scheduler has decided about this request. */
    void decided(coordination::entry::Decision decision);

    /** Called when a new configuration is in force, which may allow other regions. */
    void configurationChanged();

    /** Called when the caller has closed its connection. */
    void callerDisconnected();

    /** Applies the timeouts of the request, of its current attempt and of writes to the caller. */
    void checkTimeouts(state::Time now);

    std::shared_ptr<TargetAttempt> makeAttempt(const coordination::entry::Decision &decision) override;
    std::optional<HandoverRequest> beginHandover(const coordination::entry::Decision &decision) override;
    void endSilentAttempt() override;
    boost::asio::awaitable<void>
    handoverFailed(coordination::entry::Decision decision, AttemptResult result, bool rejected) override;

    bool take(const protocol::ServerSentEvent &event) override;
    bool mayEnd() const override;
    void firstEvent() override;
    boost::asio::awaitable<bool> writeEvents(const WireCodec::ResponseHeader &head, std::string events) override;

private:
    enum class State { Open, CallerDisconnected, TimedOut };

    coordination::entry::ScheduledRequest scheduledRequest() const;
    void submit();
    boost::asio::awaitable<std::optional<Response>> waitForTarget();
    void requestHandover(state::Time now);
    void endAttempt(state::Time now);
    bool endsSoon(state::Time now) const;
    std::optional<state::Time> closedUntil(const coordination::entry::Decision &decision) const;
    bool runsOwnService(const coordination::entry::Decision &decision) const;
    bool isAllowed(const coordination::entry::Decision &decision);
    bool isWithheld(const coordination::entry::Decision &decision);
    bool mayPlaceAgain(const AttemptResult &result) const;
    void recordWithheld(const state::entry::TargetEntry &target);
    state::Duration ownRetryAfter() const;
    bool blockedHere(const coordination::entry::Decision &decision) const;
    void refuseIfBlocked();
    void recordDispatch(const coordination::entry::Decision &decision, state::Time now);
    Request forwardRequest(const coordination::entry::Decision &decision, state::Time now) const;
    boost::asio::awaitable<AttemptResult> runAttempt();
    boost::asio::awaitable<AttemptResult> continueHandover(HandoverTarget target);
    boost::asio::awaitable<AttemptResult> finishAttempt(bool begun, AttemptResult result);
    boost::asio::awaitable<void> classifyFailure(AttemptResult &result, const state::entry::TargetEntry &entry);
    void recordFailure(const AttemptResult &result, const state::entry::TargetEntry &entry);
    bool mayRetry(const AttemptResult &result);
    bool mayTryAnotherTarget(state::Time now) const;
    bool mayContinue() const;
    void recordRefusal(AttemptResult &result);
    Response finalResponse(AttemptResult result);
    boost::asio::awaitable<bool> serve();
    void giveBackTarget();
    Response internalError() const;
    boost::asio::awaitable<bool> writeResponse(Response response);
    boost::asio::awaitable<bool> finishStream();
    bool keepAlive() const;
    AttemptTarget attemptTarget(const coordination::entry::Decision &decision) const;
    InactivityTimeouts inactivityTimeouts(state::Time now) const;
    void logResponse(int status, std::string_view reason);
    void recordUnanswered(std::string_view reason);
    bool repeatable() const
    {
        return m_admitted.route->repeatable();
    }

    ServingContext &m_context;
    boost::asio::ip::tcp::socket &m_caller;
    Request m_request;
    state::Time m_arrived;
    AdmittedRequest m_admitted;
    RequestAdmission m_admission;
    std::uint64_t m_id = 0;
    boost::asio::steady_timer m_decisionTimer;
    std::optional<coordination::entry::Decision> m_decision;
    std::shared_ptr<TargetAttempt> m_attempt;
    TargetHandover m_handover;
    std::vector<std::string> m_triedTargets;
    std::vector<std::string>
        m_rejectingTargets; /**< that refused to go on with a stream or to take over; not counted as tried */
    std::vector<coordination::entry::BackOff> m_backOffs; /**< that made this host refuse placements */
    std::vector<std::shared_ptr<ByteBudget::Share>> m_responseBytes; /**< of responses that may go to the caller */
    std::size_t m_withheld = 0; /**< placements that were given back */
    protocol::EventSequence m_events; /**< that reached the caller */
    std::optional<state::Time> m_firstEventAt;
    state::Time m_lastEventAt{};
    state::Time m_dispatched{}; /**< of the current attempt */
    state::Duration m_longestPause{}; /**< between two writes of events */
    bool m_quotaCharged = false; /**< the request was charged to the customer's quota */
    bool m_regionsChanged = false; /**< while the request waits for a decision */
    bool m_mayHaveRun = false;
    bool m_streamStarted = false;
    bool m_responding = false; /**< a response that is no stream is being written */
    bool m_writing = false; /**< a write to the caller is in progress */
    coordination::entry::AttemptOutcome m_lastOutcome = coordination::entry::AttemptOutcome::Abandoned;
    State m_state = State::Open;
};

} // namespace sapphirecove::transport::entry
