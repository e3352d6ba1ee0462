#pragma once

#include "coordination/action.h"
#include "coordination/message.h"
#include "coordination/requestinfo.h"
#include "state/identifiers.h"
#include "state/time.h"

#include <optional>
#include <span>

namespace sapphirecove::coordination {

/** Group that can serve a request, and its arbiter. */
struct Route
{
    state::GroupId group;
    state::HostId arbiter;
};

/** Result of the lookup of an idempotency key when a request with the key arrives. */
enum class KeyLookupResult {
    Free, /**< a claim was proposed; its outcome is reported later */
    InProgress, /**< another request holds the key, and its result is not known */
    Finished, /**< another request with the key has been executed */
    Unavailable, /**< the claims cannot be read or the table of claims is full */
};

/** Operations that RequestTable requires from its owner. */
class RequestEffects
{
public:
    virtual ~RequestEffects() = default;

    /** Appends an action for the transport layer. */
    virtual void addAction(Action action) = 0;

    /** Sends a message to a host, possibly to this one. */
    virtual void send(const state::HostId &to, Message message, state::Time now) = 0;

    /** Returns the group from which to request a slot; empty if no group with a usable target is left. */
    virtual std::optional<Route>
    route(const RequestInfo &request, std::span<const state::GroupId> excluded, state::Time now) = 0;

    /** Returns the arbiter of a group; empty if no live host can arbitrate it. */
    virtual std::optional<state::HostId> arbiterOf(const state::GroupId &group, state::Time now) = 0;

    /** Looks up the request's idempotency key and proposes a claim if it is free. */
    virtual KeyLookupResult claimKey(const RequestInfo &request, state::Time now) = 0;

    /** Releases a key whose request was never dispatched. */
    virtual void releaseKey(const RequestInfo &request, state::Time now) = 0;

    /** Records the end of a dispatched request with a key; @p status is empty if its response was interrupted. */
    virtual void finishKey(const RequestInfo &request, std::optional<int> status, state::Time now) = 0;
};

} // namespace sapphirecove::coordination
