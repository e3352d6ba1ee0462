#pragma once

#include "state/time.h"

namespace sapphirecove::state::entry {

/** Limits that the deployment sets for entry hosts. The defaults apply where its settings name none. */
struct Bounds
{
    Duration shutdownGrace = std::chrono::seconds(8); /**< from SIGTERM to SIGKILL */
    /** Time from a target's drain notice to the last request sent to it. */
    Duration drain = std::chrono::milliseconds(2500);
    bool strictRevocation = true;
    /** Time from a key's removal to the last request accepted with it. */
    Duration revocation = std::chrono::seconds(5);
    double retryRatio = 0.2; /**< retries for each request of a service, over all hosts */
    double retrySlack = 50; /**< additional retries that are allowed in a window */
    Duration retryWindow = std::chrono::seconds(10);
    Duration quotaWindow = std::chrono::seconds(8);
    double quotaOverage = 0.1; /**< share by which a quota may be exceeded in a window */
    double quotaSlack = 0; /**< additional cost by which a quota may be exceeded in a window */
    double rolloutShare = 0.1; /**< share of a service's requests that an unproven version may get */
    double rolloutSlack = 50; /**< additional requests that it may get */
    /** Multiple of the rate of a cold target that it may get in any second; 0 if there is no such bound. */
    double coldOverage = 0;
    double coldSlack = 0; /**< additional requests that it may get in a second */
};

} // namespace sapphirecove::state::entry
