#pragma once

#include "coordination/action.h"
#include "coordination/message.h"
#include "coordination/requestinfo.h"
#include "state/identifiers.h"
#include "state/time.h"

#include <optional>
#include <span>

namespace sapphirecove::coordination {

/** Group that may serve a request and the host that arbitrates it. */
struct Route
{
    state::GroupId group;
    state::HostId arbiter;
};

/** State of an idempotency key when a request that carries it arrives. */
enum class KeyLookupResult {
    Free, /**< a claim was proposed; its outcome follows */
    InProgress, /**< another request holds the key and its result is not known */
    Finished, /**< another request with the key has run */
    Unavailable, /**< the claims cannot be read or the table of claims is full */
};

/** What the request table needs from its surroundings. */
class RequestEffects
{
public:
    virtual ~RequestEffects() = default;

    /** Adds an action for the transport layer. */
    virtual void addAction(Action action) = 0;

    /** Sends a message to a host, which may be this one. */
    virtual void send(const state::HostId &to, Message message, state::Time now) = 0;

    /** Returns the group to ask for a slot, or nothing if no group with a usable target is left. */
    virtual std::optional<Route>
    route(const RequestInfo &request, std::span<const state::GroupId> excluded, state::Time now) = 0;

    /** Returns the arbiter of a group, or nothing if no live host can arbitrate it. */
    virtual std::optional<state::HostId> arbiterOf(const state::GroupId &group, state::Time now) = 0;

    /** Looks up the request's idempotency key and proposes a claim if it is free. */
    virtual KeyLookupResult claimKey(const RequestInfo &request, state::Time now) = 0;

    /** Frees a key whose request was never dispatched. */
    virtual void releaseKey(const RequestInfo &request, state::Time now) = 0;

    /** Records that the request of a key was dispatched; @p status is absent if the target's answer was cut off. */
    virtual void finishKey(const RequestInfo &request, std::optional<int> status, state::Time now) = 0;
};

} // namespace sapphirecove::coordination
