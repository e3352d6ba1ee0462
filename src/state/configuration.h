#pragma once

#include "state/identifiers.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirecove::state {

/** Settings of one tier. */
struct TierRule
{
    Tier tier = 0;
    std::string name;
    Duration defaultDeadline{}; /**< from arrival, for requests without a deadline */
};

/** Customer and its limits. */
struct Customer
{
    CustomerId id;
    std::vector<std::string> keyHashes; /**< lower-case hexadecimal SHA-256 of each bearer key */
    double weight = 1.0; /**< fair share relative to other customers of the same tier */
    Tier highestTier = 0; /**< most urgent tier that the customer may use */
    Tier defaultTier = 0;
    double requestsPerSecond = 0; /**< 0 means unlimited */
    int maxConcurrent = 0; /**< requests accepted and not finished on one host; 0 means unlimited */
};

/** Kind of back end in a pool. */
enum class PoolKind {
    Model,
    Service,
};

/** Rule for calls of a plain service whose method and path prefix match. */
struct Route
{
    std::string method; /**< HTTP method, or "*" */
    std::string pathPrefix;
    bool idempotent = true;
    bool requireIdempotencyKey = false; /**< reject calls without Idempotency-Key */
    std::optional<Tier> tier;
};

/** Capacity assumed for a target until its speed has been estimated from its responses. */
struct TargetCapacity
{
    int streams = 8; /**< responses in progress at once */
    int prefillTokens = 16384; /**< prompt tokens of dispatched requests that are not yet prefilled */
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 40; /**< per stream */
    Duration serviceTime = std::chrono::milliseconds(50); /**< of one call; plain services only */
};

/** Targets of one model or one plain service. */
struct Pool
{
    PoolId id;
    PoolKind kind = PoolKind::Model;
    std::string model; /**< value of "model" in chat-completions calls; model pools only */
    VersionName version; /**< version to run when no version change is declared */
    std::vector<Route> routes; /**< service pools only; the longest matching prefix applies */
    TargetCapacity capacity;
};

/** Target as the configuration declares it. */
struct Target
{
    TargetId id;
    PoolId pool;
    std::string address; /**< IP address */
    std::uint16_t port = 0;
    std::string failureDomain;
    std::optional<TargetCapacity> capacity; /**< overrides the pool's capacity */
    bool checksFencing = true; /**< rejects orders with an outdated fencing number */
};

/** Declared change of a pool to another version. */
struct VersionChange
{
    std::string id;
    PoolId pool;
    VersionName from;
    VersionName to;
    Time deadline{}; /**< the change is completed or rolled back by then */
};

/** Limits on queues and sizes. */
struct Limits
{
    int queueLength = 2000; /**< slot requests waiting at one arbiter */
    std::int64_t queueBytes = std::int64_t{ 64 } * 1024 * 1024; /**< request bodies held by one host */
    std::int64_t maxBodyBytes = std::int64_t{ 8 } * 1024 * 1024; /**< one request body */
    Duration claimTimeout = std::chrono::seconds(2); /**< maximum wait until a claim is read back from the log */
};

/** Merged and validated configuration. */
struct Configuration
{
    std::map<Tier, TierRule> tiers;
    std::map<std::string, std::string> failureDomains; /**< failure domain to region */
    std::map<CustomerId, Customer> customers;
    std::map<PoolId, Pool> pools;
    std::map<TargetId, Target> targets;
    std::vector<VersionChange> changes;
    Limits limits;
};

} // namespace sapphirecove::state
