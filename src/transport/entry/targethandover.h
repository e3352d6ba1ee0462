#pragma once

#include "coordination/entry/scheduledrequest.h"
#include "state/time.h"
#include "transport/entry/servingcontext.h"
#include "transport/entry/targetattempt.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace sapphirecove::transport::entry {

/** Target that can take over a request: the decision about it, and an attempt that is connected. */
struct HandoverTarget
{
    coordination::entry::Decision decision; /**< its request is the id under which it was decided */
    std::shared_ptr<TargetAttempt> attempt;
};

/**
 * Obtains another target for a request while its attempt at a silent one goes on, so that the request loses nothing if
 * no other target has room or can be reached.
 */
class TargetHandover
{
public:
    using MakeAttempt = std::function<std::shared_ptr<TargetAttempt>(const coordination::entry::Decision &)>;

    /** @p owner receives the decisions; @p makeAttempt creates the attempt at a target, or returns
     * nullptr if the request must not be sent there. */
    TargetHandover(ServingContext &context, Exchange &owner, MakeAttempt makeAttempt);
    ~TargetHandover();

    TargetHandover(const TargetHandover &) = delete;
    TargetHandover &operator=(const TargetHandover &) = delete;

    /** Returns whether a target may be requested now: none is being obtained, and the last failure is long enough ago.
     */
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

    /** Ends a connection attempt that takes too long. */
    void checkTimeouts(state::Time now);

    /** Gives back the target that was obtained or requested, if any. */
    void cancel(state::Time now);

    /** Returns whether a connected target waits to be taken. */
    bool ready() const
    {
        return m_step == Step::Ready;
    }

    /** Returns the connected target; the caller is then responsible for its end. */
    HandoverTarget take();

private:
    enum class Step { Idle, Requested, Connecting, Ready };

    void connected(bool success, std::string_view detail);
    void reset(state::Time nextBegin);

    ServingContext &m_context;
    Exchange &m_owner;
    MakeAttempt m_makeAttempt;
    Step m_step = Step::Idle;
    std::uint64_t m_id = 0;
    state::Time m_nextBegin{};
    coordination::entry::Decision m_decision;
    std::shared_ptr<TargetAttempt> m_attempt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); /**< false once this object is gone */
};

} // namespace sapphirecove::transport::entry
