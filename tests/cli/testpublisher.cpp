#include "cli/publisher.h"
#include "cli/rollout.h"

#include "protocol/configurationreader.h"

#include "tests/cli/fakelog.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using cli::PublishOutcome;
using cli::PublishResult;
using tests::FakeLog;
using namespace std::chrono_literals;

namespace {

const std::string Document = R"({"tiers":{"urgent":{"tier":0,"default_deadline_ms":1000}}})";

state::ConfigurationPublished
publication(const std::string &id, state::Generation base, const std::string &document = Document)
{
    return { id, base, "other", document };
}

PublishResult publish(FakeLog &log, std::optional<state::Generation> base = std::nullopt)
{
    const protocol::ConfigurationReader checker;
    return cli::Publisher(log, checker).publish({ "mine", "kofi", Document, base, 10s });
}

} // namespace

// Guards against a base generation that counts refused publications or ignores checkpoints.
TEST_CASE("the base is the generation that the log's records lead to", "[publisher]")
{
    FakeLog log;
    log.add(publication("a", 0));
    log.add(publication("b", 0)); // not accepted: generation 1 is in force
    log.add(publication("c", 1, "{}")); // not accepted: the document has no tiers
    log.add(publication("d", 1));
    log.add(state::ConfigurationCheckpoint{ 1, "d", "other", Document, 1 }); // lower than the generation in force
    log.add(state::ConfigurationCheckpoint{ 7, "e", "other", Document, 5 });
    const PublishResult result = publish(log);
    CHECK(result.outcome == PublishOutcome::Accepted);
    CHECK(result.base == 7);
    CHECK(result.generation == 8);
    CHECK(log.appends == 1);
    const auto &record = std::get<state::ConfigurationPublished>(log.records.back().record);
    CHECK(record.baseGeneration == 7);
    CHECK(record.operatorName == "kofi");
    CHECK(record.document == Document);
}

// Guards against two operators who both believe that their conflicting change is in force.
TEST_CASE("a publication that loses a race is not accepted", "[publisher]")
{
    FakeLog log;
    log.beforeAppend = [&] {
        log.add(publication("faster", 0));
    };
    const PublishResult result = publish(log);
    CHECK(result.outcome == PublishOutcome::NotAccepted);
    CHECK(result.generation == 1);
    CHECK(result.detail == "base generation 0 is not in force; 1 is");
    CHECK(log.appends == 1);
}

// Guards against a report of failure for a change that took effect because only the answer to the append was lost.
TEST_CASE("a lost append answer does not decide the outcome", "[publisher]")
{
    FakeLog log;
    log.appendFailure = std::string(transport::ExchangeStep);
    CHECK(publish(log).outcome == PublishOutcome::Accepted);
    CHECK(log.appends == 1);
}

// Guards against a second append, which could put an old change back in force, and against a claim to know the outcome.
TEST_CASE("an outcome that cannot be read is unknown and nothing is repeated", "[publisher]")
{
    FakeLog log;
    log.appendFailure = std::string(transport::ExchangeStep);
    SECTION("the record does not appear")
    {
        log.storesAppend = false;
    }
    SECTION("the log goes down after the append")
    {
        log.readable = [&] {
            return log.appends == 0;
        };
    }
    CHECK(publish(log).outcome == PublishOutcome::Unknown);
    CHECK(log.appends == 1);
    CHECK(log.time <= state::Time(11s));
}

// Guards against a short outage after the append that is reported as an unknown outcome too early.
TEST_CASE("the outcome is found after a short outage of the log", "[publisher]")
{
    FakeLog log;
    log.readable = [&] {
        return log.appends == 0 || log.time > state::Time(3s);
    };
    CHECK(publish(log).outcome == PublishOutcome::Accepted);
    CHECK(log.appends == 1);
}

// Guards against appends on an unknown or outdated base, and against "unknown" where nothing can have been stored.
TEST_CASE("nothing is appended without a valid base", "[publisher]")
{
    FakeLog log;
    SECTION("the log is down")
    {
        log.readable = [] {
            return false;
        };
        CHECK(publish(log).outcome == PublishOutcome::NotSent);
        CHECK(log.time <= state::Time(11s));
    }
    SECTION("the first records have expired and there is no checkpoint")
    {
        log.first = 5;
        log.add(publication("a", 3));
        CHECK(publish(log).outcome == PublishOutcome::NotSent);
    }
    SECTION("the operator's base is outdated")
    {
        log.add(publication("a", 0));
        CHECK(publish(log, 0).outcome == PublishOutcome::NotAccepted);
    }
    CHECK(log.appends == 0);
}

// Guards against expired records that make a publication impossible although a checkpoint tells the generation.
TEST_CASE("a checkpoint tells the generation after records have expired", "[publisher]")
{
    FakeLog log;
    log.first = 5;
    log.add(publication("a", 3));
    log.add(state::ConfigurationCheckpoint{ 4, "a", "other", Document, 6 });
    const PublishResult result = publish(log, 4);
    CHECK(result.outcome == PublishOutcome::Accepted);
    CHECK(result.generation == 5);
}

// Guards against a false "accepted": a checkpoint names the generation at the offset up to which its author had read,
// and a publication between that offset and the checkpoint raises it.
TEST_CASE("a publication that a checkpoint's author had not read counts", "[publisher]")
{
    FakeLog log;
    log.first = 5;
    log.add(publication("a", 4));
    log.add(state::ConfigurationCheckpoint{ 4, "z", "other", Document, 5 });
    CHECK(publish(log, 4).outcome == PublishOutcome::NotAccepted);
    const PublishResult result = publish(log);
    CHECK(result.outcome == PublishOutcome::Accepted);
    CHECK(result.base == 5);
    CHECK(result.generation == 6);
}

// Guards against "outcome unknown" when the connection for the append was refused and nothing can have been stored.
TEST_CASE("a refused connection is reported as not sent", "[publisher]")
{
    FakeLog log;
    log.storesAppend = false;
    log.appendFailure = std::string(transport::ConnectStep);
    CHECK(publish(log).outcome == PublishOutcome::NotSent);
}

// Guards against "in force everywhere" while a live host is behind, and against waiting for hosts that are dead.
TEST_CASE("live hosts below the generation are named", "[rollout]")
{
    coordination::StatusReport report;
    report.host = "h1";
    report.generation = 4;
    report.peers.resize(4);
    report.peers[0] = { "h2", 1, true, true, false, true, 5 };
    report.peers[1] = { "h3", 1, true, true, false, true, 4 };
    report.peers[2] = { "h4", 1, true, false, false, true, 3 };
    report.peers[3] = { "h1", 1, true, true, false, true, 3 };
    CHECK(cli::hostsBehind(report, 5) == std::vector<state::HostId>{ "h1", "h3" });
    CHECK(cli::hostsBehind(report, 4).empty());
}
