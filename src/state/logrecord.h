#pragma once

#include "state/identifiers.h"
#include "state/time.h"

#include <string>
#include <variant>

namespace sapphirecove::state {

/** Streams that the fleet keeps in the platform's log. */
enum class Stream {
    Configuration,
    Claims,
    Leases,
    Versions,
};

/** Publication of a configuration by an operator; accepted only if its base generation is the one in force. */
struct ConfigurationPublished
{
    std::string publishId;
    Generation baseGeneration = 0;
    std::string operatorName;
    std::string document; /**< merged configuration as JSON text */
};

/** Copy of the configuration in force, appended before the publication's record expires. */
struct ConfigurationCheckpoint
{
    Generation generation = 0;
    std::string publishId; /**< of the publication that it repeats */
    std::string operatorName;
    std::string document;
    Offset readTo = 0; /**< first offset its author had not read; the generation was in force there */
};

/** Claim of an idempotency key before dispatch. */
struct ClaimMade
{
    ClaimId claimId;
    CustomerId customer;
    std::string key;
    HostId host;
    Incarnation incarnation = 0;
};

/** Withdrawal of a claim whose request was never dispatched; the key is free again. */
struct ClaimReleased
{
    ClaimId claimId;
    CustomerId customer;
    std::string key;
};

/** End of a claimed request that was dispatched. */
struct ClaimFinished
{
    ClaimId claimId;
    CustomerId customer;
    std::string key;
    int status = 0; /**< HTTP status sent to the caller */
};

/** Acquisition or renewal of a lease; its fencing number is the offset of the record that acquired it. */
struct LeaseTaken
{
    std::string name;
    HostId holder;
    Incarnation incarnation = 0;
    Duration duration{}; /**< zero gives the lease up */
    Time sent{}; /**< by the holder's clock, from which the holder counts the duration */
};

/** State of a version change. */
enum class ChangeState {
    Loading, /**< targets are loading the new version */
    Shifting, /**< the new version's share is rising */
    Done,
    RolledBack,
};

/** Step of a version change, appended by the lease holder. */
struct VersionStep
{
    std::string changeId;
    PoolId pool;
    VersionName version;
    int sharePerMille = 0; /**< of the pool's traffic that goes to the new version */
    ChangeState state = ChangeState::Loading;
    std::string reason;
    Offset fencing = 0;
    HostId holder;
};

/** Record of any stream. */
using LogRecord = std::variant<ConfigurationPublished,
                               ConfigurationCheckpoint,
                               ClaimMade,
                               ClaimReleased,
                               ClaimFinished,
                               LeaseTaken,
                               VersionStep>;

/** Record with the position and time that the log gave it. */
struct StoredRecord
{
    Offset offset = 0;
    Time time{}; /**< the log's own clock at the append */
    LogRecord record;
};

} // namespace sapphirecove::state
