#pragma once

#include "coordination/action.h"
#include "coordination/statusreport.h"
#include "transport/decisions/latencyrecorder.h"

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace sapphirecove::transport {

/** State of the host at one moment, for the operators' endpoints. */
struct HostSnapshot
{
    coordination::StatusReport report;
    std::vector<LatencySummary> latencies;
};

/** Request of the operators thread for a snapshot, sent to the decisions thread. */
struct SnapshotQuery
{
    std::uint64_t id = 0;
};

/** Response to a SnapshotQuery. */
struct SnapshotResponse
{
    std::uint64_t id = 0;
    std::shared_ptr<const HostSnapshot> snapshot;
};

/** Update from the decisions thread to the operators thread. */
using OperatorsUpdate = std::variant<coordination::SetReady, SnapshotResponse>;

} // namespace sapphirecove::transport
