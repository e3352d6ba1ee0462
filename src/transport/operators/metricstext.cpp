#include "transport/operators/metricstext.h"

#include "state/buildid.h"

#include <sys/resource.h>

#include <algorithm>
#include <sstream>
#include <string_view>

namespace sapphirecove::transport {

namespace {

constexpr std::string_view MetricPrefix = "sapphirecove_";

std::string metricName(std::string_view name)
{
    std::string result(MetricPrefix);
    for (const char c : name) {
        const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        result += plain ? c : '_';
    }
    return result;
}

void writeValue(std::ostream &out, const std::string &name, std::string_view type, double value)
{
    out << "# TYPE " << name << ' ' << type << '\n' << name << ' ' << value << '\n';
}

void writeSummary(std::ostream &out, const LatencySummary &latency)
{
    const auto name = metricName(latency.name) + "_seconds";
    out << "# HELP " << name << ' ' << latency.help << "\n# TYPE " << name << " summary\n";
    if (latency.quantile95) {
        out << name << "{quantile=\"0.95\"} " << *latency.quantile95 << '\n';
    }
    if (latency.quantile99) {
        out << name << "{quantile=\"0.99\"} " << *latency.quantile99 << '\n';
    }
    out << name << "_sum " << latency.sum << '\n' << name << "_count " << latency.count << '\n';
}

double secondsOf(const timeval &time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

void writeProcessUsage(std::ostream &out)
{
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) != 0) {
        return;
    }
    writeValue(out, "process_cpu_seconds_total", "counter", secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime));
    writeValue(out, "process_max_resident_memory_bytes", "gauge", static_cast<double>(usage.ru_maxrss) * 1024);
}

} // namespace

std::string encodeBuildInfo()
{
    return "sapphirecove_build_info{commit=\"" + std::string(state::buildCommit()) + "\",sources=\""
        + std::string(state::buildSources()) + "\"} 1\n";
}

std::string encodeMetrics(const HostSnapshot &snapshot)
{
    const auto &report = snapshot.report;
    std::ostringstream out;
    out.precision(17);
    out << encodeBuildInfo();
    for (const auto &[name, value] : report.counters) {
        writeValue(out, metricName(name) + "_total", "counter", static_cast<double>(value));
    }
    writeValue(out, metricName("ready"), "gauge", report.ready ? 1 : 0);
    writeValue(out, metricName("draining"), "gauge", report.draining ? 1 : 0);
    writeValue(out, metricName("configuration_generation"), "gauge", static_cast<double>(report.generation));
    writeValue(out, metricName("requests"), "gauge", static_cast<double>(report.requests));
    const auto alive = std::count_if(report.peers.begin(), report.peers.end(), [](const auto &peer) {
        return peer.alive;
    });
    writeValue(out, metricName("peers_alive"), "gauge", static_cast<double>(alive));
    for (const auto &latency : snapshot.latencies) {
        writeSummary(out, latency);
    }
    writeProcessUsage(out);
    return out.str();
}

} // namespace sapphirecove::transport
