// Compares the placement policies in simulated time: one group, engines of two speeds, prompts with shared prefixes.

#include "coordination/arbiter.h"
#include "coordination/placement/register.h"
#include "coordination/prefixcache.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace sapphirecove;
using namespace sapphirecove::coordination;

namespace {

constexpr state::Time StartTime = state::timeFromMicroseconds(1'700'000'000'000'000);
constexpr state::Duration SimulatedTime = std::chrono::minutes(20);
constexpr state::Duration WarmUpTime = std::chrono::minutes(2);
constexpr state::Duration TickInterval = std::chrono::milliseconds(20);
constexpr state::Duration CacheEventDelay = std::chrono::seconds(1);
constexpr state::Duration RequestTimeout = std::chrono::seconds(30);
constexpr std::size_t EngineCount = 12;
constexpr std::size_t EngineCacheCapacity = 300;
constexpr unsigned DocumentCount = 400;
constexpr std::uint32_t PromptTokens = 4400; // 17 blocks, of which 16 are hashed
constexpr std::uint32_t OutputTokens = 200;
constexpr double BytesPerToken = 200;

/** Simulated engine with its own prefix cache; it is faster or slower than the arbiter's model expects. */
struct Engine
{
    ArbiterTarget target;
    double prefillRate = 0;
    double decodeRate = 0;
    state::Time busyUntil{};
    PrefixCache cache{ EngineCacheCapacity };
    std::set<std::uint64_t> hashes;
};

struct Event
{
    enum class Kind {
        Arrival,
        Tick,
        Released,
        CacheChanged,
    };
    state::Time time{};
    std::uint64_t sequence = 0;
    Kind kind = Kind::Tick;
    SlotRelease release;
    CacheChanged change;

    bool operator<(const Event &other) const
    {
        return std::tie(other.time, other.sequence) < std::tie(time, sequence);
    }
};

struct Measurements
{
    double promptTokens = 0;
    double prefilledTokens = 0;
    double interRegionBytes = 0;
    int requests = 0;
    int completedInTime = 0;
    std::vector<double> firstTokenSeconds; /**< times from arrival to first token */
};

/** Simulates one placement policy at one request rate. */
class Simulation
{
public:
    Simulation(std::string_view policy, double requestsPerSecond);
    Measurements run();

private:
    void makeEngines();
    void schedule(state::Time time, Event event);
    void submitRequest();
    void handle(const Event &event);
    void dispatch(const SlotGrant &grant);
    void updateCache(Engine &engine, const SlotRequest &slotRequest);

    std::mt19937_64 m_random{ 7 };
    std::exponential_distribution<> m_gap;
    state::Time m_now = StartTime;
    std::unique_ptr<TierGate> m_gate;
    std::unique_ptr<Arbiter> m_arbiter;
    std::vector<Engine> m_engines;
    std::map<state::RequestId, std::pair<SlotRequest, state::Time>> m_waitingRequests;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    Replies m_replies;
    Measurements m_measurements;
};

Simulation::Simulation(std::string_view policy, double requestsPerSecond)
    : m_gap(requestsPerSecond)
{
    makeEngines();
    m_arbiter = state::handleFailure(
        [&]() -> state::Result<std::unique_ptr<Arbiter>> {
            BOOST_LEAF_ASSIGN(m_gate, TierGate::create("host"));
            ArbiterOptions options;
            options.pool = "pool";
            options.self = "host";
            options.lowestTier = 0;
            options.gate = m_gate.get();
            options.failureDomains = { { "near", "home" }, { "other", "home" }, { "far", "away" } };
            BOOST_LEAF_AUTO(placement, placement::create(policy));
            return Arbiter::create("pool@home#0", options, std::move(placement));
        },
        [](const state::Failure &failure) {
            std::fprintf(stderr, "%s\n", state::describe(failure).c_str());
            std::exit(1);
            return std::unique_ptr<Arbiter>();
        });
    std::vector<ArbiterTarget> targets;
    for (const Engine &engine : m_engines) {
        targets.push_back(engine.target);
    }
    m_arbiter->setTargets(targets, m_now);
}

void Simulation::makeEngines()
{
    const std::array domains{ "near", "other", "far" };
    for (std::size_t i = 0; i < EngineCount; ++i) {
        Engine engine;
        const bool isSlow = i % 2 == 1;
        engine.prefillRate = isSlow ? 4000 : 8000;
        engine.decodeRate = isSlow ? 25 : 45;
        // All targets declare the same speed (the default); the arbiter has to learn the difference.
        engine.target.id = "engine" + std::to_string(i);
        engine.target.failureDomain = domains[i % domains.size()];
        engine.target.version = "v1";
        m_engines.push_back(std::move(engine));
    }
}

void Simulation::schedule(state::Time time, Event event)
{
    event.time = time;
    event.sequence = m_sequence++;
    m_events.push(std::move(event));
}

Measurements Simulation::run()
{
    schedule(m_now, { .kind = Event::Kind::Arrival });
    schedule(m_now, { .kind = Event::Kind::Tick });
    while (!m_events.empty() && m_events.top().time < StartTime + SimulatedTime) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        m_replies.clear();
        handle(event);
        for (const Reply &reply : m_replies) {
            if (const auto *grant = std::get_if<SlotGrant>(&reply.message)) {
                dispatch(*grant);
            }
        }
    }
    return m_measurements;
}

void Simulation::handle(const Event &event)
{
    switch (event.kind) {
    case Event::Kind::Arrival:
        submitRequest();
        schedule(m_now + state::durationFromSeconds(m_gap(m_random)), { .kind = Event::Kind::Arrival });
        return;
    case Event::Kind::Tick:
        m_arbiter->tick(m_now, m_replies);
        schedule(m_now + TickInterval, { .kind = Event::Kind::Tick });
        return;
    case Event::Kind::Released:
        m_arbiter->release("host", event.release, m_now, m_replies);
        return;
    case Event::Kind::CacheChanged:
        m_arbiter->cacheChanged(event.change, m_now);
        return;
    }
}

void Simulation::submitRequest()
{
    SlotRequest slotRequest;
    slotRequest.request = "host.1." + std::to_string(m_sequence);
    slotRequest.group = "pool@home#0";
    slotRequest.customer = "customer" + std::to_string(m_random() % 5);
    slotRequest.promptTokens = PromptTokens;
    slotRequest.maxOutputTokens = OutputTokens;
    slotRequest.bodyBytes = 4 * PromptTokens;
    slotRequest.deadline = m_now + RequestTimeout;
    slotRequest.sourceFailureDomain = "near";
    // Squaring favours low document numbers, so that a few documents receive most of the requests.
    const double uniform = std::uniform_real_distribution<>(0, 1)(m_random);
    const auto document = static_cast<std::uint64_t>(uniform * uniform * DocumentCount);
    for (std::uint64_t i = 0; i < 5; ++i) {
        slotRequest.prefixHashes.push_back((document * 8 + i + 1) * 0x9e3779b97f4a7c15U);
    }
    if (m_now >= StartTime + WarmUpTime) {
        ++m_measurements.requests;
    }
    m_waitingRequests[slotRequest.request] = { slotRequest, m_now };
    m_arbiter->requestSlot("host", slotRequest, m_now, m_replies);
}

void Simulation::dispatch(const SlotGrant &grant)
{
    const auto node = m_waitingRequests.extract(grant.request);
    const auto &[slotRequest, arrival] = node.mapped();
    Engine &engine = *std::ranges::find(m_engines, grant.target, [](const Engine &candidate) {
        return candidate.target.id;
    });
    const std::size_t matchedHashes = engine.cache.match(slotRequest.prefixHashes);
    const std::uint32_t cached = matchedHashes == 0 ? 0 : 256U << (matchedHashes - 1);
    const bool isRemote = engine.target.failureDomain == "far";
    const state::Duration networkLatency = isRemote ? std::chrono::milliseconds(24) : std::chrono::milliseconds(1);
    const state::Time firstTokenTime =
        std::max(m_now, engine.busyUntil) + state::durationFromSeconds((PromptTokens - cached) / engine.prefillRate);
    engine.busyUntil = firstTokenTime;
    const state::Time end =
        firstTokenTime + networkLatency + state::durationFromSeconds(OutputTokens / engine.decodeRate);
    updateCache(engine, slotRequest);

    SlotRelease release{ .request = grant.request, .group = grant.group, .grant = grant.grant, .target = grant.target };
    release.outcome = GrantOutcome::Complete;
    release.promptTokens = PromptTokens;
    release.cachedTokens = cached;
    release.outputTokens = OutputTokens;
    release.timeToFirstToken = firstTokenTime + networkLatency - m_now;
    release.total = end - m_now;
    schedule(end, { .kind = Event::Kind::Released, .release = release });
    m_arbiter->report("host",
                      { .group = grant.group,
                        .complete = false,
                        .dispatches = { { .request = grant.request, .grant = grant.grant, .target = grant.target } } },
                      m_now);
    if (arrival < StartTime + WarmUpTime) {
        return;
    }
    m_measurements.promptTokens += PromptTokens;
    m_measurements.prefilledTokens += PromptTokens - cached;
    m_measurements.interRegionBytes += isRemote ? slotRequest.bodyBytes + BytesPerToken * OutputTokens : 0;
    m_measurements.completedInTime += end <= slotRequest.deadline ? 1 : 0;
    m_measurements.firstTokenSeconds.push_back(state::toSeconds(firstTokenTime + networkLatency - arrival));
}

void Simulation::updateCache(Engine &engine, const SlotRequest &slotRequest)
{
    engine.cache.use(slotRequest.prefixHashes);
    engine.hashes.insert(slotRequest.prefixHashes.begin(), slotRequest.prefixHashes.end());
    CacheChanged change{ .target = engine.target.id };
    std::erase_if(engine.hashes, [&](std::uint64_t hash) {
        const bool isEvicted = engine.cache.match({ &hash, 1 }) == 0;
        if (isEvicted) {
            change.removed.push_back(hash);
        }
        return isEvicted;
    });
    if (!change.removed.empty()) {
        schedule(m_now + CacheEventDelay, { .kind = Event::Kind::CacheChanged, .change = change });
    }
}

void printRow(std::string_view policy, double requestsPerSecond)
{
    Measurements measurements = Simulation(policy, requestsPerSecond).run();
    std::ranges::sort(measurements.firstTokenSeconds);
    double sum = 0;
    for (const double time : measurements.firstTokenSeconds) {
        sum += time;
    }
    const std::size_t count = std::max<std::size_t>(1, measurements.firstTokenSeconds.size());
    const double percentile95 =
        measurements.firstTokenSeconds.empty() ? 0 : measurements.firstTokenSeconds[count * 95 / 100];
    std::printf("%8.0f %-17s %8d %9.1f %10.1f %10.3f %10.3f %9.1f\n",
                requestsPerSecond,
                std::string(policy).c_str(),
                measurements.requests,
                100.0 * measurements.completedInTime / std::max(1, measurements.requests),
                100 * measurements.prefilledTokens / std::max(1.0, measurements.promptTokens),
                sum / static_cast<double>(count),
                percentile95,
                measurements.interRegionBytes / 1e6);
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::printf("12 engines of two speeds, 20 minutes of simulated time; first token in seconds from the arrival.\n");
    std::printf("%8s %-17s %8s %9s %10s %10s %10s %9s\n",
                "asks/s",
                "policy",
                "asks",
                "in time%",
                "prefilled%",
                "mean",
                "p95",
                "link MB");
    for (const double requestsPerSecond : { 5.0, 10.0, 14.0 }) {
        for (const std::string_view policy : placement::names()) {
            printRow(policy, requestsPerSecond);
        }
    }
    return 0;
}
