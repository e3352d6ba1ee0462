#pragma once

#include "state/entry/bounds.h"
#include "state/time.h"

namespace sapphirecove::coordination::entry {

/** Returns the maximum age of a configuration's confirmation at which a host may still rely on the keys in it. */
state::Duration maxConfirmationAge(const state::entry::Bounds &bounds);

/**
 * Returns how long the next call for a newer configuration may wait at the store if the current one was confirmed @p
 * age ago. The response to a call that waits for the full time arrives before the configuration is too old to serve.
 *
 * Configurations may change during a wait. Since a response with a change does not tell when the change was made, it
 * confirms the configuration only as of the time at which the call was sent.
 */
state::Duration confirmationWait(state::Duration age, const state::entry::Bounds &bounds);

/** Returns the maximum age of a list of targets from which a host may decide for other hosts. */
state::Duration maxTargetsAge(const state::entry::Bounds &bounds);

/**
 * Returns the maximum age of the list of targets that a request was placed from when the request is sent, at hosts that
 * the metadata store serves. Longer than maxTargetsAge(), so that a host whose list gets old is replaced before.
 */
state::Duration maxPlacementAge(const state::entry::Bounds &bounds);

/** Returns how long a call for changed targets may wait so that the list stays younger than maxTargetsAge(). */
state::Duration targetsWait(const state::entry::Bounds &bounds);

} // namespace sapphirecove::coordination::entry
