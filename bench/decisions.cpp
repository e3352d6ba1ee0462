// Measures the time of a grant decision and the memory of the arbiters of one host.

#include "coordination/arbiter.h"
#include "coordination/placement/register.h"

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

using namespace sapphirecove;
using namespace sapphirecove::coordination;

namespace {

constexpr state::Time Start = state::timeFromMicroseconds(1'700'000'000'000'000);
constexpr int Streams = 8;
constexpr int Hosts = 350;
constexpr int Decisions = 20'000;
constexpr state::Duration ServiceTime = std::chrono::seconds(3);
constexpr state::Duration TickTime = std::chrono::milliseconds(20);
constexpr state::Duration HeartbeatTime = std::chrono::milliseconds(200);

/** One row of the table. */
struct Size
{
    int groups = 1;
    int targets = 64; /**< in each group */
    int customers = 100;
    int waiting = 100; /**< asks in each queue; 0 leaves half of the streams free */
};

struct Result
{
    double mean = 0; /**< microseconds for an ask and the release that lets one ask be granted */
    double median = 0;
    double percentile = 0; /**< 99th */
    double tick = 0; /**< microseconds for a tick of one group */
    double bytesPerAsk = 0;
    double bytesPerTarget = 0; /**< with a prefix cache filled by the run */
};

/** Returns the processor time of this thread; other processes on the machine do not count into it. */
double microseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

std::size_t allocated()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** Arbiters of one host under a constant load. */
class Load
{
public:
    explicit Load(const Size &size);
    Result run();

private:
    struct Group
    {
        std::unique_ptr<Arbiter> arbiter;
        std::vector<SlotGrant> grants;
    };

    void makeGate();
    void makeGroup(int number);
    SlotRequest makeAsk();
    void submit(Group &group, const SlotRequest &ask);
    void finish(Group &group);
    void advance();
    void beat();
    void collect(Group &group);

    Size m_size;
    std::mt19937_64 m_random{ 1 };
    state::Time m_now = Start;
    state::Time m_nextTick = Start;
    state::Time m_nextBeat = Start;
    std::uint64_t m_sequence = 0;
    std::vector<state::HostId> m_hosts;
    std::unique_ptr<TierGate> m_gate;
    std::vector<Group> m_groups;
    Replies m_replies;
    std::uint64_t m_nextRequest = 0;
    double m_tickTime = 0; // microseconds
    int m_ticks = 0;
};

template <typename T>
std::unique_ptr<T> require(const std::function<state::Result<std::unique_ptr<T>>()> &make)
{
    return state::handleFailure(make, [](const state::Failure &failure) {
        std::fprintf(stderr, "%s\n", state::describe(failure).c_str());
        std::exit(1);
        return std::unique_ptr<T>();
    });
}

Load::Load(const Size &size)
    : m_size(size)
{
    makeGate();
    for (int i = 0; i < size.groups; ++i) {
        makeGroup(i);
    }
}

void Load::makeGate()
{
    m_gate = require<TierGate>([] {
        return TierGate::create("host0");
    });
    for (int i = 0; i < Hosts; ++i) {
        m_hosts.push_back("host" + std::to_string(i));
    }
    m_gate->setPeers(m_hosts, m_now);
}

void Load::makeGroup(int number)
{
    ArbiterOptions options;
    options.pool = "pool" + std::to_string(number);
    options.self = "host0";
    options.queueLength = static_cast<std::size_t>(m_size.waiting) + 1000;
    options.gate = m_gate.get();
    for (int i = 0; i < 24; ++i) {
        options.failureDomains["domain" + std::to_string(i)] = "region" + std::to_string(i % 7);
    }
    Group group;
    group.arbiter = require<Arbiter>([&]() -> state::Result<std::unique_ptr<Arbiter>> {
        BOOST_LEAF_AUTO(policy, placement::create("cost"));
        return Arbiter::create(options.pool + "@region0#0", options, std::move(policy));
    });
    std::vector<ArbiterTarget> targets;
    for (int i = 0; i < m_size.targets; ++i) {
        ArbiterTarget target;
        target.id = "target-" + std::to_string(number) + "-" + std::to_string(i);
        target.failureDomain = "domain" + std::to_string(i % 24);
        target.capacity.streams = Streams;
        target.capacity.prefillTokens = 1'000'000; // streams are the limit in this measurement
        target.version = "v1";
        targets.push_back(target);
    }
    group.arbiter->setTargets(targets, m_now);
    m_groups.push_back(std::move(group));
}

SlotRequest Load::makeAsk()
{
    SlotRequest ask;
    ask.request = "host17.1700000000000000." + std::to_string(m_nextRequest++);
    ask.group = "pool@region0#0";
    ask.customer = "customer" + std::to_string(m_random() % static_cast<unsigned>(m_size.customers));
    ask.tier = static_cast<state::Tier>(m_random() % 4);
    ask.promptTokens = 1000;
    ask.maxOutputTokens = 300;
    ask.bodyBytes = 16'000;
    ask.deadline = m_now + std::chrono::hours(10) + std::chrono::milliseconds(m_random() % 10'000);
    // One of 500 documents, of which the longer prefixes differ in each of four requests.
    const std::uint64_t document = m_random() % 500;
    for (std::uint64_t i = 0; i < 5; ++i) {
        const std::uint64_t variant = i < 3 ? 0 : m_random() % 4;
        ask.prefixHashes.push_back((document * 64 + i * 8 + variant) * 0x9e3779b97f4a7c15U);
    }
    ask.sourceFailureDomain = "domain3";
    return ask;
}

void Load::collect(Group &group)
{
    for (const Reply &reply : m_replies) {
        if (const auto *grant = std::get_if<SlotGrant>(&reply.message)) {
            group.grants.push_back(*grant);
        }
    }
}

void Load::submit(Group &group, const SlotRequest &ask)
{
    m_replies.clear();
    group.arbiter->requestSlot("host17", ask, m_now, m_replies);
    collect(group);
}

void Load::finish(Group &group)
{
    std::swap(group.grants[m_random() % group.grants.size()], group.grants.back());
    const SlotGrant grant = group.grants.back();
    group.grants.pop_back();
    SlotRelease release{ .request = grant.request, .group = grant.group, .grant = grant.grant };
    release.outcome = GrantOutcome::Complete;
    release.promptTokens = 1000;
    release.outputTokens = 100;
    release.timeToFirstToken = std::chrono::milliseconds(125);
    release.total = ServiceTime;
    m_replies.clear();
    group.arbiter->release("host17", release, m_now, m_replies);
    collect(group);
}

void Load::beat()
{
    m_gate->heartbeatSent(++m_sequence, m_now);
    Heartbeat heartbeat;
    heartbeat.acknowledged = m_sequence;
    for (const state::HostId &host : m_hosts) {
        m_gate->heartbeatReceived(host, heartbeat, m_now);
    }
}

void Load::advance()
{
    // As many requests as the streams can take when each is in use for ServiceTime.
    m_now += ServiceTime / (m_size.groups * m_size.targets * Streams);
    if (m_now >= m_nextBeat) {
        m_nextBeat = m_now + HeartbeatTime;
        beat();
    }
    if (m_now < m_nextTick) {
        return;
    }
    m_nextTick = m_now + TickTime;
    const double begin = microseconds();
    for (Group &group : m_groups) {
        m_replies.clear();
        group.arbiter->tick(m_now, m_replies);
        collect(group);
        ++m_ticks;
    }
    m_tickTime += microseconds() - begin;
}

Result Load::run()
{
    Result result;
    const int full = m_size.targets * Streams;
    for (Group &group : m_groups) {
        for (int i = 0; i < (m_size.waiting > 0 ? full : full / 2); ++i) {
            submit(group, makeAsk());
        }
        // Grants without a report would expire during the run.
        OutstandingReport report{ .group = "pool@region0#0" };
        for (const SlotGrant &grant : group.grants) {
            report.dispatches.push_back({ .request = grant.request, .grant = grant.grant, .target = grant.target });
        }
        group.arbiter->report("host17", report, m_now);
    }
    const std::size_t before = allocated();
    for (Group &group : m_groups) {
        for (int i = 0; i < m_size.waiting; ++i) {
            submit(group, makeAsk());
        }
    }
    const double asks = static_cast<double>(m_size.groups) * m_size.waiting;
    result.bytesPerAsk = asks > 0 ? static_cast<double>(allocated() - before) / asks : 0;

    std::vector<double> times;
    times.reserve(Decisions);
    for (int i = 0; i < Decisions; ++i) {
        Group &group = m_groups[m_random() % m_groups.size()];
        const SlotRequest ask = makeAsk();
        const double begin = microseconds();
        submit(group, ask);
        finish(group);
        times.push_back(microseconds() - begin);
        OutstandingReport report{ .group = "pool@region0#0", .complete = false };
        const SlotGrant &grant = group.grants.back();
        report.dispatches.push_back({ .request = grant.request, .grant = grant.grant, .target = grant.target });
        group.arbiter->report("host17", report, m_now);
        advance();
    }
    for (const double time : times) {
        result.mean += time / Decisions;
    }
    const auto middle = times.begin() + Decisions / 2;
    std::ranges::nth_element(times, middle);
    result.median = *middle;
    const auto rank = times.begin() + Decisions * 99 / 100;
    std::ranges::nth_element(times, rank);
    result.percentile = *rank;
    result.tick = m_tickTime / std::max(1, m_ticks);
    return result;
}

double bytesPerTarget(const Size &size)
{
    const std::size_t before = allocated();
    Load load({ .groups = size.groups, .targets = size.targets, .customers = size.customers, .waiting = 0 });
    load.run();
    return static_cast<double>(allocated() - before) / (static_cast<double>(size.groups) * size.targets);
}

void printRow(const Size &size)
{
    Result result = Load(size).run();
    result.bytesPerTarget = bytesPerTarget(size);
    std::printf("%6d %8d %10d %8d %9.2f %9.2f %9.2f %9.2f %10.0f %12.0f\n",
                size.groups,
                size.targets,
                size.customers,
                size.waiting,
                result.mean,
                result.median,
                result.percentile,
                result.tick,
                result.bytesPerAsk,
                result.bytesPerTarget);
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::printf("A decision is one ask and one release, of which one leads to a grant; times in microseconds of "
                "processor time.\n");
    std::printf("%6s %8s %10s %8s %9s %9s %9s %9s %10s %12s\n",
                "groups",
                "targets",
                "customers",
                "waiting",
                "mean",
                "median",
                "p99",
                "tick",
                "bytes/ask",
                "bytes/target");
    for (const Size &size : { Size{ 1, 8, 10, 0 },
                              Size{ 1, 8, 10, 10 },
                              Size{ 1, 64, 100, 100 },
                              Size{ 1, 64, 2000, 1000 },
                              Size{ 1, 64, 2000, 10'000 },
                              Size{ 1, 512, 2000, 10'000 },
                              Size{ 188, 64, 2000, 0 },
                              Size{ 188, 64, 2000, 100 } }) {
        printRow(size);
    }
    return 0;
}
