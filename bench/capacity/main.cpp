// Measures the control-plane load of one host at several fleet sizes, without sockets: the coordinator and the JSON
// codecs process the events that a host of such a fleet would receive. docs/CAPACITY.md uses the slopes.

#include "coordination/coordinator.h"
#include "protocol/configurationreader.h"
#include "protocol/messagecodec.h"

#include <boost/json.hpp>

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

using namespace sapphirecove;
using namespace sapphirecove::coordination;

namespace {

constexpr state::Duration TickInterval = std::chrono::milliseconds(20);
constexpr int TicksPerSecond = 50;
constexpr int TicksPerHeartbeat = 10;
constexpr int MeasuredSeconds = 4;

struct FleetSize
{
    int hosts = 7;
    int targets = 48;
    int customers = 10;
    int pools = 2;
    int regions = 2;
};

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

double allocatedMegabytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

std::string hostName(int index)
{
    return "host-" + std::to_string(index);
}

std::string regionName(int index)
{
    return "region-" + std::to_string(index);
}

std::string domainName(int index)
{
    return "domain-" + std::to_string(index);
}

boost::json::object makeTargets(const FleetSize &size)
{
    boost::json::object targets;
    for (int i = 0; i < size.targets; ++i) {
        targets["worker-" + std::to_string(i)] =
            boost::json::object{ { "pool", "model-" + std::to_string(i % size.pools) },
                                 { "address", "127.0.0.1" },
                                 { "port", 1024 + i % 60000 },
                                 { "failure_domain", domainName((i / size.pools) % size.regions) } };
    }
    return targets;
}

std::string makeConfiguration(const FleetSize &size)
{
    boost::json::object tiers;
    for (int tier = 0; tier < 4; ++tier) {
        tiers["tier-" + std::to_string(tier)] =
            boost::json::object{ { "tier", tier }, { "default_deadline_ms", 30000 } };
    }
    boost::json::object domains;
    for (int i = 0; i < size.regions; ++i) {
        domains[domainName(i)] = boost::json::object{ { "region", regionName(i) } };
    }
    boost::json::object customers;
    for (int i = 0; i < size.customers; ++i) {
        char hash[65];
        std::snprintf(hash, sizeof hash, "%064d", i);
        customers["customer-" + std::to_string(i)] = boost::json::object{
            { "key_hashes", { hash } }, { "weight", 1 }, { "highest_tier", "tier-0" }, { "default_tier", "tier-1" }
        };
    }
    boost::json::object pools;
    for (int i = 0; i < size.pools; ++i) {
        const std::string name = "model-" + std::to_string(i);
        pools[name] = boost::json::object{ { "kind", "model" }, { "model", name }, { "version", "v1" } };
    }
    return boost::json::serialize(boost::json::object{ { "tiers", tiers },
                                                       { "failure_domains", domains },
                                                       { "customers", customers },
                                                       { "pools", pools },
                                                       { "targets", makeTargets(size) } });
}

HostListRead makeHostList(const FleetSize &size)
{
    HostListRead event;
    for (int i = 0; i < size.hosts; ++i) {
        event.list.hosts.push_back(state::ListedHost{ hostName(i),
                                                      "127.0.0.1",
                                                      7000,
                                                      regionName(i % size.regions),
                                                      domainName(i % size.regions),
                                                      state::ListedState::Live });
    }
    for (int i = 0; i < size.targets; ++i) {
        event.list.targets.push_back({ "worker-" + std::to_string(i), state::ListedState::Live });
    }
    return event;
}

template <typename T>
T valueOrThrow(state::Result<T> result)
{
    if (!result) {
        throw std::runtime_error("creating the coordinator, decoding a message or reading the configuration failed");
    }
    return std::move(result.value());
}

/** Runs the coordinator of one host and generates the events that the other hosts would send. */
class HostDriver
{
public:
    explicit HostDriver(const FleetSize &size)
        : m_size(size)
        , m_now(state::timeFromMicroseconds(1'800'000'000'000'000))
    {
        CoordinatorOptions options;
        options.host = hostName(0);
        options.incarnation = 1;
        options.region = regionName(0);
        options.failureDomain = domainName(0);
        m_coordinator = valueOrThrow(Coordinator::create(options, m_configurationReader));
    }

    void start(const std::string &document)
    {
        handle(makeHostList(m_size));
        RecordsRead read;
        read.stream = state::Stream::Configuration;
        read.records.push_back({ 0, m_now, state::ConfigurationPublished{ "p", 0, "bench", document } });
        read.next = 1;
        read.atEnd = true;
        handle(read);
        for (const auto stream : { state::Stream::Claims, state::Stream::Leases, state::Stream::Versions }) {
            RecordsRead empty;
            empty.stream = stream;
            empty.atEnd = true;
            handle(empty);
        }
        for (int i = 0; i < 2 * TicksPerSecond; ++i) {
            tick();
        }
    }

    /**
     * Advances the time by 20 ms; each peer sends a heartbeat every 200 ms. Messages that would cross the network are
     * encoded and decoded.
     */
    void tick()
    {
        m_now += TickInterval;
        ++m_ticks;
        for (int peer = 1; peer < m_size.hosts; ++peer) {
            if ((m_ticks + peer) % TicksPerHeartbeat != 0) {
                continue;
            }
            Heartbeat heartbeat;
            heartbeat.sequence = static_cast<std::uint64_t>(m_ticks);
            heartbeat.generation = 1;
            heartbeat.ready = true;
            heartbeat.groups = { GroupSummary{ "model-0@region-0#0", 3, 5, std::chrono::milliseconds(20) } };
            const std::string body = protocol::encodeEnvelope(Envelope{ hostName(peer), 1, { heartbeat } });
            bytesIn += body.size();
            handle(MessagesReceived{ valueOrThrow(protocol::decodeEnvelope(body, "bench")) });
        }
        handle(Tick{});
    }

    /** Runs one request from its slot request to its completion; remote arbiters reply immediately with a grant. */
    void runRequest(int number)
    {
        RequestInfo info;
        info.id = hostName(0) + ".1." + std::to_string(number);
        info.customer = "customer-" + std::to_string(number % m_size.customers);
        info.pool = "model-" + std::to_string(number % m_size.pools);
        info.tier = number % 4;
        info.promptTokens = 400;
        info.maxOutputTokens = 200;
        info.bodyBytes = 1800;
        info.prefixHashes = { static_cast<std::uint64_t>(number % 50) + 1 };
        info.deadline = m_now + std::chrono::seconds(30);
        m_dispatch.reset();
        handle(RequestArrived{ info });
        if (!m_dispatch) {
            ++unserved;
            return;
        }
        const Dispatch dispatch = *m_dispatch;
        handle(DispatchStarted{ info.id, dispatch.grant });
        handle(FirstTokenReceived{ info.id });
        DispatchFinished finished;
        finished.request = info.id;
        finished.grant = dispatch.grant;
        finished.status = 200;
        finished.promptTokens = 400;
        finished.outputTokens = 200;
        finished.timeToFirstToken = std::chrono::milliseconds(60);
        finished.total = std::chrono::seconds(5);
        handle(finished);
    }

    std::uint64_t bytesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t messagesOut = 0;
    std::uint64_t unserved = 0;

private:
    void handle(const Event &event)
    {
        const std::span<const Action> actions = m_coordinator->handle(event, m_now);
        std::vector<Event> replies;
        for (const Action &action : actions) {
            if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
                m_dispatch = *dispatch;
            } else if (const auto *message = std::get_if<SendMessage>(&action)) {
                const std::string body = protocol::encodeEnvelope(Envelope{ hostName(0), 1, { message->message } });
                bytesOut += body.size();
                ++messagesOut;
                replyAsRemoteArbiter(*message, replies);
            }
        }
        for (const Event &reply : replies) {
            handle(reply);
        }
    }

    void replyAsRemoteArbiter(const SendMessage &sent, std::vector<Event> &replies)
    {
        const SlotRequest *slotRequest = std::get_if<SlotRequest>(&sent.message);
        if (slotRequest == nullptr) {
            return;
        }
        // Any target of the pool can be granted: the entry host checks only that the target is declared and live.
        const int pool = std::stoi(slotRequest->group.substr(6));
        SlotGrant grant{ slotRequest->request,   slotRequest->group, ++m_grant, "worker-" + std::to_string(pool), "v1",
                         std::chrono::seconds(1) };
        const std::string body = protocol::encodeEnvelope(Envelope{ sent.to, 1, { grant } });
        bytesIn += body.size();
        replies.emplace_back(MessagesReceived{ valueOrThrow(protocol::decodeEnvelope(body, "bench")) });
    }

    FleetSize m_size;
    state::Time m_now;
    protocol::ConfigurationReader m_configurationReader;
    std::unique_ptr<Coordinator> m_coordinator;
    std::optional<Dispatch> m_dispatch;
    state::GrantId m_grant = state::GrantId{ 1 } << 40;
    int m_ticks = 0;
};

void measureIdle(const FleetSize &size)
{
    const std::string document = makeConfiguration(size);
    const double before = allocatedMegabytes();
    HostDriver driver(size);
    auto start = std::chrono::steady_clock::now();
    driver.start(document);
    const double startSeconds = secondsSince(start);
    driver.bytesOut = driver.bytesIn = driver.messagesOut = 0;
    start = std::chrono::steady_clock::now();
    for (int i = 0; i < MeasuredSeconds * TicksPerSecond; ++i) {
        driver.tick();
    }
    const double seconds = secondsSince(start);
    std::printf("%6d %8d %9d | %9.3f %10.0f %10.0f %9.1f | %9.1f %9.3f\n",
                size.hosts,
                size.targets,
                size.customers,
                100 * seconds / MeasuredSeconds,
                static_cast<double>(driver.bytesOut) / MeasuredSeconds,
                static_cast<double>(driver.bytesIn) / MeasuredSeconds,
                static_cast<double>(driver.messagesOut) / MeasuredSeconds,
                allocatedMegabytes() - before,
                startSeconds);
}

void measureRequests(const FleetSize &size)
{
    constexpr int requestCount = 4000;
    HostDriver driver(size);
    driver.start(makeConfiguration(size));
    driver.bytesOut = driver.bytesIn = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < requestCount; ++i) {
        driver.runRequest(i);
    }
    const double seconds = secondsSince(start);
    std::printf("%6d %8d %9d | %12.2f %12.0f %12.0f %9llu\n",
                size.hosts,
                size.targets,
                size.customers,
                1e6 * seconds / requestCount,
                static_cast<double>(driver.bytesOut) / requestCount,
                static_cast<double>(driver.bytesIn) / requestCount,
                static_cast<unsigned long long>(driver.unserved));
}

void measureConfiguration(const FleetSize &size)
{
    const std::string document = makeConfiguration(size);
    const protocol::ConfigurationReader reader;
    const double before = allocatedMegabytes();
    const auto start = std::chrono::steady_clock::now();
    const auto configuration = valueOrThrow(reader.check(document));
    const double seconds = secondsSince(start);
    std::printf("%8d %9d | %12zu %11.1f %10.1f\n",
                size.targets,
                size.customers,
                document.size(),
                1e3 * seconds,
                allocatedMegabytes() - before);
}

constexpr FleetSize LargestFleet{ 350, 12000, 2000, 7, 7 };

} // namespace

int main()
{
    std::printf(
        "Idle control work of one host (heartbeats to and from every other host, JSON, without HTTP headers)\n");
    std::printf(" hosts  targets customers | cpu %%core  out B/s    in B/s     msg/s     | memory MB  start s\n");
    for (const int hosts : { 7, 50, 100, 200, 350 }) {
        measureIdle({ hosts, 48, 10, 2, 2 });
    }
    for (const int targets : { 1500, 3000, 6000, 12000 }) {
        measureIdle({ 7, targets, 2000, 7, 7 });
    }
    for (const int customers : { 250, 500, 1000, 2000 }) {
        measureIdle({ 7, 48, customers, 2, 2 });
    }
    measureIdle(LargestFleet);

    std::printf("\nOne request through the decisions and codecs of its entry host\n");
    std::printf(" hosts  targets customers | us/request    out B/request in B/request  unserved\n");
    for (const int hosts : { 7, 50, 100, 200, 350 }) {
        measureRequests({ hosts, 48, 10, 2, 2 });
    }
    for (const int targets : { 1500, 3000, 6000, 12000 }) {
        measureRequests({ 7, targets, 2000, 7, 7 });
    }
    measureRequests(LargestFleet);

    std::printf("\nReading one published configuration\n");
    std::printf(" targets customers | document B   read ms     memory MB\n");
    for (const int targets : { 1500, 3000, 6000, 12000 }) {
        measureConfiguration({ 7, targets, 2000, 7, 7 });
    }
    for (const int customers : { 250, 500, 1000, 2000 }) {
        measureConfiguration({ 7, 48, customers, 2, 2 });
    }
    return 0;
}
