#include "coordination/entry/confirmation.h"

#include <algorithm>

namespace sapphirecove::coordination::entry {

namespace {

/**
 * Fraction of the revocation bound after which a host with an unconfirmed configuration stops serving keys. The rest is
 * left for requests that are already on their way to a target.
 */
constexpr double ConfirmationShare = 0.6;

/** Fraction of the maximum age at which a response is due. The rest allows for a slow response and one more call. */
constexpr double DueShare = 0.85;

/** Limits for the wait of a call at the store: calls are billed, and a response takes some time in any case. */
constexpr state::Duration MaxWait = std::chrono::milliseconds(2000);
constexpr state::Duration MinWait = std::chrono::milliseconds(100);

/**
 * Fraction of the drain bound after which a list of targets is too old. The rest allows for the report that says so,
 * and for placements decided before.
 */
constexpr double TargetsAgeShare = 0.6;

/**
 * Fraction of the drain bound after which no request may be sent on the word of a list of targets. The rest is for the
 * way to the target.
 */
constexpr double PlacementAgeShare = 0.8;

/**
 * Fraction of the drain bound that a call for changed targets may wait. The pause between two calls and a slow response
 * fit into the rest of the maximum age.
 */
constexpr double TargetsWaitShare = 0.32;

} // namespace

state::Duration maxConfirmationAge(const state::entry::Bounds &bounds)
{
    return state::scaled(bounds.revocation, ConfirmationShare);
}

state::Duration confirmationWait(state::Duration age, const state::entry::Bounds &bounds)
{
    if (!bounds.strictRevocation) {
        return MaxWait;
    }
    return std::clamp(state::scaled(maxConfirmationAge(bounds), DueShare) - age, MinWait, MaxWait);
}

state::Duration maxTargetsAge(const state::entry::Bounds &bounds)
{
    return state::scaled(bounds.drain, TargetsAgeShare);
}

state::Duration maxPlacementAge(const state::entry::Bounds &bounds)
{
    return state::scaled(bounds.drain, PlacementAgeShare);
}

state::Duration targetsWait(const state::entry::Bounds &bounds)
{
    return state::scaled(bounds.drain, TargetsWaitShare);
}

} // namespace sapphirecove::coordination::entry
