#pragma once

#include "coordination/entry/scheduledrequest.h"
#include "state/time.h"
#include "transport/entry/servingcontext.h"
#include "transport/entry/targetattempt.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace sapphirecove::transport::entry {

/** Attempt at a target that has begun to take over a request. */
struct HandoverTarget
{
    coordination::entry::Decision decision; /**< its request is the id under which it was decided */
    std::shared_ptr<TargetAttempt> attempt;
    bool begun = false; /**< returned by TargetAttempt::begin() */
    AttemptResult result;
};

/** What is sent to the next target. */
struct HandoverRequest
{
    Request message;
    std::string attemptId; /**< the caller's */
};

/** Request of a TargetHandover. */
class HandoverOwner
{
public:
    virtual ~HandoverOwner() = default;

    /** Returns an attempt at the target of @p decision, or nullptr if the request must not be sent there. */
    virtual std::shared_ptr<TargetAttempt> makeAttempt(const coordination::entry::Decision &decision) = 0;

    /** Called before the request is sent. Returns what to send, or nothing if it need not move any more. */
    virtual std::optional<HandoverRequest> beginHandover(const coordination::entry::Decision &decision) = 0;

    /** Called when the next target has begun to answer, or has had the request long enough: ends the first attempt. */
    virtual void endSilentAttempt() = 0;

    /** Called when the next target did not take over; the first attempt goes on. */
    virtual boost::asio::awaitable<void>
    handoverFailed(coordination::entry::Decision decision, AttemptResult result, bool rejected) = 0;
};

/**
 * Moves a request from a silent target to another one. The attempt at the silent target goes on until the other one has
 * begun to answer, so that the request loses nothing if no other target has room, can be reached or accepts it.
 */
class TargetHandover
{
public:
    /** @p exchange receives decisions, @p owner is the same request. */
    TargetHandover(ServingContext &context, Exchange &exchange, HandoverOwner &owner);
    ~TargetHandover();

    TargetHandover(const TargetHandover &) = delete;
    TargetHandover &operator=(const TargetHandover &) = delete;

    /** Returns whether a handover may begin: none is in progress, and the last failure is long enough ago. */
    bool mayBegin(state::Time now) const
    {
        return m_step == Step::Idle && now >= m_nextBegin;
    }

    /** Requests a target for @p request, whose id is replaced by a new one. */
    void begin(coordination::entry::ScheduledRequest request, state::Time now);

    /** Returns whether the decision about @p id belongs to this handover. */
    bool owns(std::uint64_t id) const
    {
        return m_step != Step::Idle && id == m_id;
    }

    /** Processes the decision about its request; connects to the target if there is one. */
    void decided(coordination::entry::Decision decision);

    /** Ends a connection attempt that takes too long, and the time for which two targets have the request. */
    void checkTimeouts(state::Time now);

    /** Gives back the target that was obtained or requested, if any. */
    void cancel(state::Time now);

    /** Returns whether another target has the request and the first attempt has ended or must end. */
    bool committed() const
    {
        return m_committed;
    }

    /** Called when the first attempt has ended: the next target keeps the request if it has it, else it is given back.
     */
    void firstAttemptEnded(state::Time now);

    /** Waits until the next target has begun to answer or has failed; returns nothing if the handover was cancelled. */
    boost::asio::awaitable<std::optional<HandoverTarget>> take();

private:
    enum class Step { Idle, Requested, Connecting, Sent, Ready };

    boost::asio::awaitable<void> run(std::shared_ptr<TargetAttempt> attempt);
    void commit();
    void reset(state::Time nextBegin);

    ServingContext &m_context;
    Exchange &m_exchange;
    HandoverOwner &m_owner;
    Step m_step = Step::Idle;
    bool m_committed = false;
    std::uint64_t m_id = 0;
    state::Time m_nextBegin{};
    state::Time m_sentAt{};
    HandoverTarget m_target;
    boost::asio::steady_timer m_settled; /**< cancelled when the handover is ready or over */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); /**< false once this object is gone */
};

} // namespace sapphirecove::transport::entry
