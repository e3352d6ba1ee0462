#pragma once

#include "transport/operators/hostsnapshot.h"

#include <string>

namespace sapphirecove::transport {

/** Media type of the Prometheus text exposition format. */
constexpr std::string_view MetricsMediaType = "text/plain; version=0.0.4";

/** Returns a metric of value 1 whose labels name the commit and the sources that this program was built from. */
std::string encodeBuildInfo();

/** Returns the build, and counters, gauges and latencies of @p snapshot in the Prometheus text exposition format. */
std::string encodeMetrics(const HostSnapshot &snapshot);

} // namespace sapphirecove::transport
