// Measures the processor time of grant decisions and the memory of the arbiters on one host.

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

constexpr state::Time StartTime = state::timeFromMicroseconds(1'700'000'000'000'000);
constexpr int StreamsPerTarget = 8;
constexpr int HostCount = 350;
constexpr int DecisionCount = 20'000;
constexpr state::Duration ServiceTime = std::chrono::seconds(3);
constexpr state::Duration TickInterval = std::chrono::milliseconds(20);
constexpr state::Duration HeartbeatInterval = std::chrono::milliseconds(200);

/** Load parameters of one row of the output table. */
struct LoadSize
{
    int groups = 1;
    int targets = 64; /**< in each group */
    int customers = 100;
    int waitingRequests = 100; /**< in the queue of each group; 0 leaves half of the streams free */
};

struct Result
{
    double mean = 0; /**< microseconds for one slot request and one release, which together lead to one grant */
    double median = 0;
    double percentile99 = 0;
    double tick = 0; /**< microseconds for one tick of one group */
    double bytesPerRequest = 0;
    double bytesPerTarget = 0; /**< includes the prefix cache entries that the run creates */
};

/** Returns the processor time of this thread, which other processes on the machine do not affect. */
double threadCpuMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

std::size_t allocatedBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** Drives the arbiters of one host with a constant load in simulated time. */
class ArbiterLoad
{
public:
    explicit ArbiterLoad(const LoadSize &size);
    Result run();

private:
    struct Group
    {
        std::unique_ptr<Arbiter> arbiter;
        std::vector<SlotGrant> grants;
    };

    void makeGate();
    void makeGroup(int number);
    SlotRequest makeSlotRequest();
    void submit(Group &group, const SlotRequest &slotRequest);
    void releaseRandomGrant(Group &group);
    void advance();
    void exchangeHeartbeats();
    void collectGrants(Group &group);

    LoadSize m_size;
    std::mt19937_64 m_random{ 1 };
    state::Time m_now = StartTime;
    state::Time m_nextTick = StartTime;
    state::Time m_nextHeartbeat = StartTime;
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
std::unique_ptr<T> createOrExit(const std::function<state::Result<std::unique_ptr<T>>()> &make)
{
    return state::handleFailure(make, [](const state::Failure &failure) {
        std::fprintf(stderr, "%s\n", state::describe(failure).c_str());
        std::exit(1);
        return std::unique_ptr<T>();
    });
}

ArbiterLoad::ArbiterLoad(const LoadSize &size)
    : m_size(size)
{
    makeGate();
    for (int i = 0; i < size.groups; ++i) {
        makeGroup(i);
    }
}

void ArbiterLoad::makeGate()
{
    m_gate = createOrExit<TierGate>([] {
        return TierGate::create("host0");
    });
    for (int i = 0; i < HostCount; ++i) {
        m_hosts.push_back("host" + std::to_string(i));
    }
    m_gate->setPeers(m_hosts, m_now);
}

void ArbiterLoad::makeGroup(int number)
{
    ArbiterOptions options;
    options.pool = "pool" + std::to_string(number);
    options.self = "host0";
    options.queueLength = static_cast<std::size_t>(m_size.waitingRequests) + 1000;
    options.gate = m_gate.get();
    for (int i = 0; i < 24; ++i) {
        options.failureDomains["domain" + std::to_string(i)] = "region" + std::to_string(i % 7);
    }
    Group group;
    group.arbiter = createOrExit<Arbiter>([&]() -> state::Result<std::unique_ptr<Arbiter>> {
        BOOST_LEAF_AUTO(policy, placement::create("cost"));
        return Arbiter::create(options.pool + "@region0#0", options, std::move(policy));
    });
    std::vector<ArbiterTarget> targets;
    for (int i = 0; i < m_size.targets; ++i) {
        ArbiterTarget target;
        target.id = "target-" + std::to_string(number) + "-" + std::to_string(i);
        target.failureDomain = "domain" + std::to_string(i % 24);
        target.capacity.streams = StreamsPerTarget;
        target.capacity.prefillTokens = 1'000'000; // streams are the limit in this measurement
        target.version = "v1";
        targets.push_back(target);
    }
    group.arbiter->setTargets(targets, m_now);
    m_groups.push_back(std::move(group));
}

SlotRequest ArbiterLoad::makeSlotRequest()
{
    SlotRequest slotRequest;
    slotRequest.request = "host17.1700000000000000." + std::to_string(m_nextRequest++);
    slotRequest.group = "pool@region0#0";
    slotRequest.customer = "customer" + std::to_string(m_random() % static_cast<unsigned>(m_size.customers));
    slotRequest.tier = static_cast<state::Tier>(m_random() % 4);
    slotRequest.promptTokens = 1000;
    slotRequest.maxOutputTokens = 300;
    slotRequest.bodyBytes = 16'000;
    slotRequest.deadline = m_now + std::chrono::hours(10) + std::chrono::milliseconds(m_random() % 10'000);
    // Each request uses one of 500 documents; its two longest prefixes have four variants each.
    const std::uint64_t document = m_random() % 500;
    for (std::uint64_t i = 0; i < 5; ++i) {
        const std::uint64_t variant = i < 3 ? 0 : m_random() % 4;
        slotRequest.prefixHashes.push_back((document * 64 + i * 8 + variant) * 0x9e3779b97f4a7c15U);
    }
    slotRequest.sourceFailureDomain = "domain3";
    return slotRequest;
}

void ArbiterLoad::collectGrants(Group &group)
{
    for (const Reply &reply : m_replies) {
        if (const auto *grant = std::get_if<SlotGrant>(&reply.message)) {
            group.grants.push_back(*grant);
        }
    }
}

void ArbiterLoad::submit(Group &group, const SlotRequest &slotRequest)
{
    m_replies.clear();
    group.arbiter->requestSlot("host17", slotRequest, m_now, m_replies);
    collectGrants(group);
}

void ArbiterLoad::releaseRandomGrant(Group &group)
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
    collectGrants(group);
}

void ArbiterLoad::exchangeHeartbeats()
{
    m_gate->heartbeatSent(++m_sequence, m_now);
    Heartbeat heartbeat;
    heartbeat.acknowledged = m_sequence;
    for (const state::HostId &host : m_hosts) {
        m_gate->heartbeatReceived(host, heartbeat, m_now);
    }
}

void ArbiterLoad::advance()
{
    // The arrival rate uses all streams if each request occupies its stream for ServiceTime.
    m_now += ServiceTime / (m_size.groups * m_size.targets * StreamsPerTarget);
    if (m_now >= m_nextHeartbeat) {
        m_nextHeartbeat = m_now + HeartbeatInterval;
        exchangeHeartbeats();
    }
    if (m_now < m_nextTick) {
        return;
    }
    m_nextTick = m_now + TickInterval;
    const double begin = threadCpuMicroseconds();
    for (Group &group : m_groups) {
        m_replies.clear();
        group.arbiter->tick(m_now, m_replies);
        collectGrants(group);
        ++m_ticks;
    }
    m_tickTime += threadCpuMicroseconds() - begin;
}

Result ArbiterLoad::run()
{
    Result result;
    const int streamCount = m_size.targets * StreamsPerTarget;
    for (Group &group : m_groups) {
        for (int i = 0; i < (m_size.waitingRequests > 0 ? streamCount : streamCount / 2); ++i) {
            submit(group, makeSlotRequest());
        }
        // Grants that are not reported as dispatched would expire during the run.
        OutstandingReport report{ .group = "pool@region0#0" };
        for (const SlotGrant &grant : group.grants) {
            report.dispatches.push_back({ .request = grant.request, .grant = grant.grant, .target = grant.target });
        }
        group.arbiter->report("host17", report, m_now);
    }
    const std::size_t before = allocatedBytes();
    for (Group &group : m_groups) {
        for (int i = 0; i < m_size.waitingRequests; ++i) {
            submit(group, makeSlotRequest());
        }
    }
    const double requests = static_cast<double>(m_size.groups) * m_size.waitingRequests;
    result.bytesPerRequest = requests > 0 ? static_cast<double>(allocatedBytes() - before) / requests : 0;

    std::vector<double> times;
    times.reserve(DecisionCount);
    for (int i = 0; i < DecisionCount; ++i) {
        Group &group = m_groups[m_random() % m_groups.size()];
        const SlotRequest slotRequest = makeSlotRequest();
        const double begin = threadCpuMicroseconds();
        submit(group, slotRequest);
        releaseRandomGrant(group);
        times.push_back(threadCpuMicroseconds() - begin);
        OutstandingReport report{ .group = "pool@region0#0", .complete = false };
        const SlotGrant &grant = group.grants.back();
        report.dispatches.push_back({ .request = grant.request, .grant = grant.grant, .target = grant.target });
        group.arbiter->report("host17", report, m_now);
        advance();
    }
    for (const double time : times) {
        result.mean += time / DecisionCount;
    }
    const auto medianPosition = times.begin() + DecisionCount / 2;
    std::ranges::nth_element(times, medianPosition);
    result.median = *medianPosition;
    const auto percentilePosition = times.begin() + DecisionCount * 99 / 100;
    std::ranges::nth_element(times, percentilePosition);
    result.percentile99 = *percentilePosition;
    result.tick = m_tickTime / std::max(1, m_ticks);
    return result;
}

double bytesPerTarget(const LoadSize &size)
{
    const std::size_t before = allocatedBytes();
    ArbiterLoad load(
        { .groups = size.groups, .targets = size.targets, .customers = size.customers, .waitingRequests = 0 });
    load.run();
    return static_cast<double>(allocatedBytes() - before) / (static_cast<double>(size.groups) * size.targets);
}

void printRow(const LoadSize &size)
{
    Result result = ArbiterLoad(size).run();
    result.bytesPerTarget = bytesPerTarget(size);
    std::printf("%6d %8d %10d %8d %9.2f %9.2f %9.2f %9.2f %10.0f %12.0f\n",
                size.groups,
                size.targets,
                size.customers,
                size.waitingRequests,
                result.mean,
                result.median,
                result.percentile99,
                result.tick,
                result.bytesPerRequest,
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
    for (const LoadSize &size : { LoadSize{ 1, 8, 10, 0 },
                                  LoadSize{ 1, 8, 10, 10 },
                                  LoadSize{ 1, 64, 100, 100 },
                                  LoadSize{ 1, 64, 2000, 1000 },
                                  LoadSize{ 1, 64, 2000, 10'000 },
                                  LoadSize{ 1, 512, 2000, 10'000 },
                                  LoadSize{ 188, 64, 2000, 0 },
                                  LoadSize{ 188, 64, 2000, 100 } }) {
        printRow(size);
    }
    return 0;
}
