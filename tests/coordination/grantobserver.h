#pragma once

#include "coordination/arbiteroptions.h"
#include "coordination/message.h"
#include "state/time.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace sapphirecove::coordination::testing {

/**
 * Checks the invariants of an arbiter from the messages that it receives and sends, without access to its state.
 * It keeps its own record of requests and grants in plain maps and shares no code with the arbiter.
 */
class GrantObserver
{
public:
    GrantObserver(std::span<const ArbiterTarget> targets, state::Duration grantLifetime);

    void setTargets(std::span<const ArbiterTarget> targets);

    /** Records that the arbiter receives a message of a host. */
    void received(const state::HostId &from, const Message &message);

    /** Records a tick of the arbiter; grants whose dispatch was not reported expire. */
    void tick(state::Time now);

    /** Checks and records a message that the arbiter sends. */
    void sent(const Message &message, state::Time now);

    /** Returns the first violation, or an empty text. */
    const std::string &violation() const;

    std::size_t grants() const;
    std::size_t sheds() const;

private:
    struct LiveGrant
    {
        state::RequestId request;
        state::HostId host;
        state::TargetId target;
        state::Time expires{};
        bool reported = false;
    };

    void granted(const SlotGrant &grant, state::Time now);
    void denied(const SlotDenial &denial, state::Time now);
    void reported(const state::HostId &from, const OutstandingReport &report);
    void checkTierOrder(const SlotRequest &slotRequest, const SlotGrant &grant, state::Time now);
    void checkTarget(const SlotGrant &grant);
    void recordViolation(const std::string &text);

    std::map<state::TargetId, ArbiterTarget> m_targets;
    state::Duration m_grantLifetime;
    std::map<state::RequestId, SlotRequest> m_waiting;
    std::map<state::RequestId, SlotRequest> m_requests;
    std::map<state::GrantId, LiveGrant> m_live;
    std::map<state::RequestId, state::HostId> m_hosts;
    std::map<state::Tier, state::Time> m_lastShed;
    std::string m_violation;
    std::size_t m_grants = 0;
    std::size_t m_sheds = 0;
};

} // namespace sapphirecove::coordination::testing
