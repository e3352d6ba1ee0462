#include "coordination/configurationfollower.h"
#include "tests/coordination/simulatedlog.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using namespace std::chrono_literals;

namespace {

const state::Time Start = state::timeFromMicroseconds(1'000'000'000);

/** Accepts every document that does not start with "bad". */
class PrefixChecker : public DocumentChecker
{
public:
    state::Result<std::shared_ptr<const state::Configuration>> check(std::string_view document) const override
    {
        if (document.starts_with("bad")) {
            return state::fail("config.check", "", "document is bad");
        }
        return std::make_shared<const state::Configuration>();
    }
};

const PrefixChecker Checker;

state::ConfigurationPublished
publication(const std::string &id, state::Generation base, const std::string &document = "{}")
{
    return { id, base, "ama", document };
}

state::ConfigurationCheckpoint checkpointOf(state::Generation generation, state::Offset readTo)
{
    return { generation, "p" + std::to_string(generation), "ama", "{}", readTo };
}

/** Applies records to a follower as one read of a stream whose oldest offset is @p first. */
std::vector<ConfigurationOutcome>
feed(ConfigurationFollower &follower, state::Offset first, const std::vector<state::LogRecord> &records)
{
    std::vector<ConfigurationOutcome> outcomes;
    follower.readFrom(first);
    auto offset = follower.readPosition();
    for (const auto &record : records) {
        for (const auto &outcome : follower.apply({ offset, Start, record }, Start)) {
            outcomes.push_back(outcome);
        }
        ++offset;
    }
    follower.readTo(offset, true, Start);
    return outcomes;
}

} // namespace

// Guards against a publication that overwrites another one that its author has not seen.
TEST_CASE("of two publications with the same base generation the first is accepted", "[configurationfollower]")
{
    auto follower = ConfigurationFollower::create(Checker);
    const auto outcomes =
        feed(follower, 0, { publication("p1", 0), publication("p2", 0), publication("p3", 1, "bad") });
    REQUIRE(outcomes.size() == 3);
    CHECK((outcomes[0].publication.accepted && outcomes[0].audit.outcome == "accepted"));
    CHECK_FALSE(outcomes[1].publication.accepted);
    CHECK(outcomes[1].publication.detail == "base generation 0 is not in force; 1 is");
    CHECK(outcomes[2].publication.detail == "document is bad");
    CHECK(follower.generation() == 1);
    CHECK(follower.publishId() == "p1");
}

// Guards against a duplicate append that makes an accepted publication rejected or starts a second generation.
TEST_CASE("a publish id takes effect only once", "[configurationfollower]")
{
    auto follower = ConfigurationFollower::create(Checker);
    const auto outcomes = feed(follower, 0, { publication("p1", 0), publication("p1", 0), publication("p1", 1) });
    CHECK(outcomes.size() == 1);
    CHECK(follower.generation() == 1);
    CHECK(follower.publications().size() == 1);
}

// Guards against a reader that starts after a publication expired and evaluates later ones against a guessed
// generation.
TEST_CASE("records after a gap are evaluated only when the generation at their position is known",
          "[configurationfollower]")
{
    auto follower = ConfigurationFollower::create(Checker);
    CHECK(feed(follower, 10, { publication("p6", 5), publication("stale", 5), publication("p7", 6) }).empty());
    CHECK_FALSE(follower.isLogGenerationKnown());
    const auto outcomes = follower.applyOffer({ 5, 10, "p5", "ama", "{}" }, Start);
    REQUIRE(outcomes.size() == 4);
    CHECK(outcomes[1].publication.publishId == "p6");
    CHECK_FALSE(outcomes[2].publication.accepted);
    CHECK(follower.generation() == 7);
    CHECK(follower.isLogGenerationKnown());
}

// Guards against a checkpoint that was appended before its author read a newer publication: a reader that takes the
// checkpoint's generation as the one in force accepts a record that all others reject.
TEST_CASE("a checkpoint determines the generation at the offset to which its author had read",
          "[configurationfollower]")
{
    auto complete = ConfigurationFollower::create(Checker);
    auto late = ConfigurationFollower::create(Checker);
    const std::vector<state::LogRecord> tail{ checkpointOf(1, 1), publication("racing", 1) };
    feed(complete, 0, { publication("p1", 0), publication("p2", 1), tail[0], tail[1] });
    CHECK(complete.publishId() == "p2");
    feed(late, 2, tail);
    CHECK(late.generation() == 1);
    CHECK_FALSE(late.isLogGenerationKnown());
    feed(late, 2, { checkpointOf(2, 4) });
    CHECK(late.isLogGenerationKnown());
    CHECK(late.generation() == 2);
}

// Guards against a generation that decreases because of a late offer or an outdated checkpoint.
TEST_CASE("the generation never decreases", "[configurationfollower]")
{
    auto follower = ConfigurationFollower::create(Checker);
    feed(follower, 0, { publication("p1", 0), publication("p2", 1) });
    follower.applyOffer({ 1, 9, "p1", "ama", "{}" }, Start);
    feed(follower, 0, { checkpointOf(1, 1) });
    CHECK(follower.generation() == 2);
    CHECK(follower.publishId() == "p2");
}

// Guards against a restarted host that has no configuration while the log is down, or serves with an outdated one.
TEST_CASE("a host takes its configuration from a peer and is ready when no live peer is ahead",
          "[configurationfollower]")
{
    auto peer = ConfigurationFollower::create(Checker);
    feed(peer, 0, { publication("p1", 0), publication("p2", 1) });
    auto host = ConfigurationFollower::create(Checker);
    host.updatePeers(3, true, Start);
    const auto request = host.request(Start);
    REQUIRE(request);
    CHECK_FALSE(host.request(Start + 100ms));
    host.applyOffer(*peer.offer(*request), Start);
    CHECK(host.generation() == 2);
    CHECK(host.readPosition() == 2);
    CHECK_FALSE(host.isReady());
    CHECK_FALSE(host.request(Start + 900ms));
    host.updatePeers(3, true, Start + 1s);
    CHECK(host.request(Start + 1s));
    host.applyOffer({ 3, 4, "p3", "ama", "{}" }, Start);
    CHECK(host.isReady());
    host.updatePeers(4, true, Start + 2s);
    CHECK(host.isReady());
}

// Guards against a host that has the configuration in force but can never evaluate the next publication.
TEST_CASE("a host that missed records sends a request to a peer of the same generation", "[configurationfollower]")
{
    auto peer = ConfigurationFollower::create(Checker);
    feed(peer, 0, { publication("p1", 0), publication("p2", 0) });
    auto host = ConfigurationFollower::create(Checker);
    feed(host, 0, { publication("p1", 0) });
    host.updatePeers(1, true, Start);
    CHECK_FALSE(host.request(Start));
    feed(host, 2, { publication("p3", 1) });
    const auto request = host.request(Start);
    REQUIRE(request);
    const auto offer = peer.offer(*request);
    REQUIRE(offer);
    CHECK(offer->document.empty());
    host.applyOffer(*offer, Start);
    CHECK(host.generation() == 2);
}

// Guards against a first host that never becomes ready because it has no peer to compare with.
TEST_CASE("a host without peers is ready at the end of the log", "[configurationfollower]")
{
    auto follower = ConfigurationFollower::create(Checker);
    follower.updatePeers(0, true, Start);
    feed(follower, 0, {});
    CHECK_FALSE(follower.isReady());
    feed(follower, 0, { publication("p1", 0) });
    CHECK(follower.isReady());
}

// Guards against a configuration whose records all expire, and against a checkpoint by a host that lags behind.
TEST_CASE("a checkpoint is due after half of the retention time", "[configurationfollower]")
{
    auto follower = ConfigurationFollower::create(Checker);
    feed(follower, 0, { publication("p1", 0) });
    CHECK_FALSE(follower.needsCheckpoint(Start + 11h, 24h));
    REQUIRE(follower.needsCheckpoint(Start + 12h, 24h));
    const auto record = follower.checkpoint(Start + 12h);
    CHECK((record.generation == 1 && record.readTo == 1));
    CHECK_FALSE(follower.needsCheckpoint(Start + 12h + 1s, 24h));
    follower.apply({ 1, Start + 12h, record }, Start + 12h);
    CHECK_FALSE(follower.needsCheckpoint(Start + 13h, 24h));
    follower.readTo(2, false, Start + 25h);
    CHECK_FALSE(follower.needsCheckpoint(Start + 25h, 24h));
}

// Guards against hosts that can never accept a publication again after all records of the log expired.
TEST_CASE("generations restart at 0 when neither the log nor a peer has a configuration", "[configurationfollower]")
{
    auto follower = ConfigurationFollower::create(Checker);
    feed(follower, 40, {});
    CHECK_FALSE(follower.isLogGenerationKnown());
    follower.updatePeers(0, true, Start);
    feed(follower, 40, {});
    CHECK(follower.isLogGenerationKnown());
    feed(follower, 40, { publication("p1", 0) });
    CHECK(follower.generation() == 1);
}

// Guards against unbounded memory use while the generation is unknown.
TEST_CASE("the number of pending records is limited", "[configurationfollower]")
{
    auto follower = ConfigurationFollower::create(Checker);
    std::vector<state::LogRecord> records(ConfigurationFollower::MaxPendingRecords + 1, publication("p", 5));
    feed(follower, 10, records);
    follower.applyOffer({ 5, 10, "p5", "ama", "{}" }, Start);
    CHECK_FALSE(follower.isLogGenerationKnown());
    follower.applyOffer({ 5, 11, "p5", "ama", "{}" }, Start);
    CHECK(follower.isLogGenerationKnown());
    CHECK(follower.generation() == 6);
}

namespace {

constexpr state::Duration Retention = 20s;

/** Offer sent to a host and not delivered yet. */
struct Delivery
{
    state::Time due{};
    std::size_t to = 0;
    ConfigurationOffer offer;
};

/** Simulation of several followers, publishers and one log. */
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed)
        : m_log(seed)
    {
        for (std::size_t i = 0; i < 4; ++i) {
            m_hosts.push_back(ConfigurationFollower::create(Checker));
        }
        m_lastGeneration.resize(m_hosts.size());
    }

    void step(bool injectFaults)
    {
        m_now += m_log.randomDelay(600ms);
        m_log.advance(m_now, Retention);
        if (injectFaults && m_log.randomBelow(3) == 0) {
            publish();
        }
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            // The first host never restarts: if all hosts lost their state at once, generations could restart at 0.
            if (injectFaults && i > 0 && m_log.randomBelow(50) == 0) {
                m_hosts[i] = ConfigurationFollower::create(Checker);
                m_lastGeneration[i] = 0;
            }
            const bool isDisconnected = injectFaults && i > 0 && (m_disconnectedHosts >> i & 1U) != 0;
            if (!isDisconnected) {
                read(i, injectFaults);
            }
            requestFromPeer(i);
            checkpoint(i);
        }
        if (m_log.randomBelow(20) == 0) {
            m_disconnectedHosts = m_log.randomBelow(16);
        }
        deliver();
        checkGenerations();
    }

    /** Returns whether all hosts have the configuration that a reader of the whole log has. */
    bool agrees() const
    {
        auto reference = ConfigurationFollower::create(Checker);
        for (const auto &record : m_log.records) {
            reference.apply(record, m_now);
        }
        return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto &host) {
            return host.generation() == reference.generation() && host.publishId() == reference.publishId();
        });
    }

    int violations = 0; /**< decreases of a generation, and generations with two documents */
    std::size_t generations() const
    {
        return m_publishIds.size();
    }

private:
    void publish()
    {
        const auto base = m_hosts[m_log.randomBelow(m_hosts.size())].generation() + m_log.randomBelow(8) / 7;
        const auto id = "p" + std::to_string(++m_published);
        m_log.send(publication(id, base, m_log.randomBelow(8) == 0 ? "bad" : id), m_now, 5s);
    }

    void read(std::size_t index, bool injectFaults)
    {
        auto &host = m_hosts[index];
        const auto position = host.readPosition();
        const auto stale = injectFaults ? std::min<state::Offset>(position, m_log.randomBelow(4)) : 0;
        const auto read = m_log.read(position - stale, injectFaults ? 1 + m_log.randomBelow(6) : 1000);
        host.readFrom(read.first);
        for (const auto &record : read.records) {
            host.apply(record, m_now);
        }
        host.readTo(read.next, read.atEnd, m_now);
    }

    void requestFromPeer(std::size_t index)
    {
        const auto from = m_log.randomBelow(m_hosts.size());
        m_hosts[index].updatePeers(m_hosts[from].generation(), true, m_now);
        const auto request = m_hosts[index].request(m_now);
        const auto offer = request && from != index ? m_hosts[from].offer(*request) : std::nullopt;
        if (offer) {
            m_deliveries.push_back({ m_now + m_log.randomDelay(3s), index, *offer });
        }
    }

    void checkpoint(std::size_t index)
    {
        auto &host = m_hosts[index];
        if ((index == 0 || m_log.randomBelow(10) == 0) && host.needsCheckpoint(m_now, Retention)) {
            m_log.send(host.checkpoint(m_now), m_now, 5s);
        }
    }

    void deliver()
    {
        std::vector<Delivery> later;
        for (const auto &delivery : m_deliveries) {
            if (delivery.due > m_now) {
                later.push_back(delivery);
            } else {
                m_hosts[delivery.to].applyOffer(delivery.offer, m_now);
            }
        }
        m_deliveries.swap(later);
    }

    void checkGenerations()
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            const auto generation = m_hosts[i].generation();
            violations += generation < m_lastGeneration[i] ? 1 : 0;
            m_lastGeneration[i] = generation;
            const auto known = m_publishIds.emplace(generation, m_hosts[i].publishId());
            violations += known.first->second != m_hosts[i].publishId() ? 1 : 0;
        }
    }

    tests::SimulatedLog m_log;
    state::Time m_now = Start;
    std::vector<ConfigurationFollower> m_hosts;
    std::vector<state::Generation> m_lastGeneration;
    std::map<state::Generation, std::string> m_publishIds;
    std::vector<Delivery> m_deliveries;
    std::uint64_t m_disconnectedHosts = 0;
    int m_published = 0;
};

} // namespace

// Guards against hosts that disagree on a generation's document or stay behind, with concurrent publishers, lost and
// delayed appends, stale reads, late offers, restarts, expiry and hosts that are disconnected from the log.
TEST_CASE("all hosts agree on the configuration in random schedules", "[configurationfollower]")
{
    std::size_t generations = 0;
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
        Fleet fleet(seed);
        for (int step = 0; step < 250; ++step) {
            fleet.step(true);
        }
        for (int step = 0; step < 60; ++step) {
            fleet.step(false);
        }
        INFO("seed " << seed);
        REQUIRE(fleet.violations == 0);
        REQUIRE(fleet.agrees());
        generations += fleet.generations();
    }
    CHECK(generations > 10'000);
}
