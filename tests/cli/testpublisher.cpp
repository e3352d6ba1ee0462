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

// Guards against a base generation that counts rejected publications or ignores checkpoints.
TEST_CASE("the default base is the generation in force according to the log", "[publisher]")
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
TEST_CASE("a publication is not accepted if another one with the same base precedes it in the log", "[publisher]")
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

// Guards against a reported failure when only the response to the append was lost and the change took effect.
TEST_CASE("the outcome does not depend on the response to the append", "[publisher]")
{
    FakeLog log;
    log.appendFailure = std::string(transport::ExchangeStep);
    CHECK(publish(log).outcome == PublishOutcome::Accepted);
    CHECK(log.appends == 1);
}

// Guards against a second append, which could put an outdated change back in force, and against reporting a definite
// outcome that the publisher cannot know.
TEST_CASE("an outcome that cannot be read is unknown and the append is not retried", "[publisher]")
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

// Guards against giving up too early, with an unknown outcome, when the log is briefly unavailable after the append.
TEST_CASE("the outcome is found after a short outage of the log", "[publisher]")
{
    FakeLog log;
    log.readable = [&] {
        return log.appends == 0 || log.time > state::Time(3s);
    };
    CHECK(publish(log).outcome == PublishOutcome::Accepted);
    CHECK(log.appends == 1);
}

// Guards against appends with an unknown or outdated base, and against an unknown outcome although nothing was sent.
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

// Guards against refusing to publish because records have expired although a checkpoint contains the generation.
TEST_CASE("a checkpoint provides the generation after records have expired", "[publisher]")
{
    FakeLog log;
    log.first = 5;
    log.add(publication("a", 3));
    log.add(state::ConfigurationCheckpoint{ 4, "a", "other", Document, 6 });
    const PublishResult result = publish(log, 4);
    CHECK(result.outcome == PublishOutcome::Accepted);
    CHECK(result.generation == 5);
}

// Guards against a false "accepted" outcome: a checkpoint contains the generation at the offset up to which its author
// had read the log, and a publication between that offset and the checkpoint raises the generation.
TEST_CASE("a publication that the author of a checkpoint had not read raises the generation", "[publisher]")
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

// Guards against an unknown outcome when the connection for the append was refused, so that nothing was stored.
TEST_CASE("a refused connection is reported as not sent", "[publisher]")
{
    FakeLog log;
    log.storesAppend = false;
    log.appendFailure = std::string(transport::ConnectStep);
    CHECK(publish(log).outcome == PublishOutcome::NotSent);
}

// Guards against reporting a complete rollout while a live host has an older generation, and against waiting for dead
// hosts.
TEST_CASE("only live hosts with an older generation count as behind", "[rollout]")
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
