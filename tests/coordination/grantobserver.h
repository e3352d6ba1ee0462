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
 * Checks the rules of an arbiter by the messages that reach and leave it, without looking into it.
 * It keeps its own books in plain maps and shares no code with the arbiter.
 */
class GrantObserver
{
public:
    GrantObserver(std::span<const ArbiterTarget> targets, state::Duration grantLifetime);

    void setTargets(std::span<const ArbiterTarget> targets);

    /** A message of a host reaches the arbiter. */
    void received(const state::HostId &from, const Message &message);

    /** Time passes at the arbiter; grants whose dispatch was not reported expire. */
    void tick(state::Time now);

    /** A message leaves the arbiter. */
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
    void checkTierOrder(const SlotRequest &ask, const SlotGrant &grant, state::Time now);
    void checkTarget(const SlotGrant &grant);
    void violate(const std::string &text);

    std::map<state::TargetId, ArbiterTarget> m_targets;
    state::Duration m_grantLifetime;
    std::map<state::RequestId, SlotRequest> m_waiting;
    std::map<state::RequestId, SlotRequest> m_known;
    std::map<state::GrantId, LiveGrant> m_live;
    std::map<state::RequestId, state::HostId> m_hosts;
    std::map<state::Tier, state::Time> m_lastShed;
    std::string m_violation;
    std::size_t m_grants = 0;
    std::size_t m_sheds = 0;
};

} // namespace sapphirecove::coordination::testing
