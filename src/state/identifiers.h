#pragma once

#include <cstdint>
#include <string>

namespace sapphirecove::state {

/** Name of a host, unique in the fleet; a replacement host may reuse it with a new incarnation. */
using HostId = std::string;

/** Number that increases with each start of a host: the start time in microseconds since the Unix epoch. */
using Incarnation = std::uint64_t;

/** Name of a customer, as declared in the configuration. */
using CustomerId = std::string;

/** Name of a target, as declared in the configuration. */
using TargetId = std::string;

/** Name of a pool: all targets that serve one model or one plain service. */
using PoolId = std::string;

/** Name of a group: the targets of a pool in one region, "pool@region#shard". One arbiter grants its slots. */
using GroupId = std::string;

/** Name of a request, unique in the fleet: "host.incarnation.number". Targets receive it in X-Request-Id. */
using RequestId = std::string;

/** Name of one claim on an idempotency key; equal to the id of the request that made it. */
using ClaimId = std::string;

/** Number of a grant, unique in the fleet with high probability: incarnation bits and a counter of its arbiter. */
using GrantId = std::uint64_t;

/** Version name of a model or service, as targets report it. */
using VersionName = std::string;

/** Generation of the configuration; it increases by one with each accepted publication and never decreases. */
using Generation = std::uint64_t;

/** Offset of a record in a stream of the log. */
using Offset = std::uint64_t;

/** Tier of a request; 0 is the most urgent and a higher number is a lower tier. */
using Tier = int;

} // namespace sapphirecove::state
