#include "bench/statistics.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <ostream>

namespace sapphirecove::load {

namespace {

/** Counts and times of the requests of one tier. */
struct TierTotals
{
    int sent = 0;
    int good = 0;
    int late = 0;
    int incomplete = 0; /**< neither a whole response nor a rejection */
    int wrong = 0;
    int tokens = 0;
    std::map<std::string, int> refused;
    std::vector<double> firstTokenMs;
    std::vector<double> tokenGapsMs;
    std::vector<double> totalMs;
};

/** Returns the smallest value that at least the @p fraction of @p values don't exceed, and reorders @p values. */
double percentile(std::vector<double> &values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    const auto index = std::clamp<std::size_t>(rank, 1, values.size()) - 1;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

void printPercentiles(std::ostream &out, const char *name, std::vector<double> values)
{
    out << "  " << std::left << std::setw(22) << name << std::right << std::fixed << std::setprecision(2) //
        << " p50 " << std::setw(10) << percentile(values, 0.50) //
        << " p95 " << std::setw(10) << percentile(values, 0.95) //
        << " p99 " << std::setw(10) << percentile(values, 0.99) << " ms  (n=" << values.size() << ")\n";
}

void addTo(TierTotals &totals, const CallResult &result)
{
    ++totals.sent;
    totals.tokens += result.tokens;
    if (result.isWrong) {
        ++totals.wrong;
    } else if (result.isGood()) {
        ++totals.good;
    } else if (result.isComplete && result.status == 200) {
        ++totals.late;
    } else if (!result.reason.empty()) {
        ++totals.refused[result.reason];
    } else {
        ++totals.incomplete;
    }
    if (result.status == 200 && result.isComplete) {
        totals.totalMs.push_back(result.totalMs);
    }
    if (result.firstTokenMs >= 0) {
        totals.firstTokenMs.push_back(result.firstTokenMs);
    }
    totals.tokenGapsMs.insert(totals.tokenGapsMs.end(), result.tokenGapsMs.begin(), result.tokenGapsMs.end());
}

} // namespace

void Statistics::add(CallResult result)
{
    m_results.push_back(std::move(result));
}

void Statistics::print(std::ostream &out, double seconds) const
{
    std::map<std::string, TierTotals> tiers;
    for (const auto &result : m_results) {
        addTo(tiers[result.tier], result);
    }
    for (const auto &[name, totals] : tiers) {
        out << "tier " << name << ": sent " << totals.sent << ", good " << totals.good << std::fixed
            << std::setprecision(1) << " (" << 100.0 * totals.good / totals.sent << "%, " << totals.good / seconds
            << "/s), late " << totals.late << ", incomplete " << totals.incomplete << ", wrong " << totals.wrong
            << ", tokens/s " << totals.tokens / seconds << "\n";
        for (const auto &[reason, count] : totals.refused) {
            out << "  refused " << reason << ": " << count << "\n";
        }
        printPercentiles(out, "time to first token", totals.firstTokenMs);
        printPercentiles(out, "time between tokens", totals.tokenGapsMs);
        printPercentiles(out, "time of whole answer", totals.totalMs);
    }
}

void Statistics::writeCsv(std::ostream &out) const
{
    out << "started_ms,class,tier,customer,host,status,reason,executed,complete,wrong,good,first_token_ms,total_ms,"
           "tokens\n";
    out << std::fixed << std::setprecision(3);
    for (const auto &result : m_results) {
        out << result.startedMs << ',' << result.requestClass << ',' << result.tier << ',' << result.customer << ','
            << result.host << ',' << result.status << ',' << result.reason << ',' << result.executed << ','
            << result.isComplete << ',' << result.isWrong << ',' << result.isGood() << ',' << result.firstTokenMs << ','
            << result.totalMs << ',' << result.tokens << '\n';
    }
}

bool Statistics::hasWrongCompletions() const
{
    return std::any_of(m_results.begin(), m_results.end(), [](const CallResult &result) {
        return result.isWrong;
    });
}

} // namespace sapphirecove::load
