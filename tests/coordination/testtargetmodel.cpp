#include "coordination/targetmodel.h"
#include "tests/coordination/slotrequests.h"

#include <catch2/catch.hpp>

#include <array>

using namespace sapphirecove;
using namespace sapphirecove::coordination;
using testing::makeSlotRequest;
using testing::milliseconds;
using testing::Start;

namespace {

std::unique_ptr<TargetModel> makeModel(state::PoolKind kind = state::PoolKind::Model)
{
    state::TargetCapacity capacity{
        .streams = 4, .prefillTokens = 4000, .prefillTokensPerSecond = 1000, .decodeTokensPerSecond = 50
    };
    return state::handleFailure(
        [&] {
            return TargetModel::create(kind, capacity);
        },
        [](const state::Failure &) {
            return std::unique_ptr<TargetModel>();
        });
}

SlotRequest prompt(std::uint32_t tokens, std::vector<std::uint64_t> hashes = {})
{
    SlotRequest ask = makeSlotRequest("request");
    ask.promptTokens = tokens;
    ask.prefixHashes = std::move(hashes);
    return ask;
}

SlotRelease ended(GrantOutcome outcome)
{
    SlotRelease release;
    release.outcome = outcome;
    return release;
}

void fail(TargetModel &model, int count, state::Time now)
{
    for (int i = 0; i < count; ++i) {
        model.released(model.granted(prompt(10), 0, 10, now), ended(GrantOutcome::Failed), now);
    }
}

} // namespace

// Guards against batches that get more streams or prefill than they can take.
TEST_CASE("a target has room up to its streams and prefill tokens", "[targetmodel]")
{
    const auto model = makeModel();
    const PlannedWork first = model->granted(prompt(3000), 0, 100, Start);
    CHECK(model->outstandingPrefillTokens(Start) == 3000);
    CHECK(model->hasRoom(1000, Start));
    CHECK_FALSE(model->hasRoom(1001, Start));
    CHECK(model->hasRoom(2000, Start + milliseconds(1000)));
    CHECK_FALSE(model->hasRoom(9000, Start + milliseconds(2999)));
    CHECK(model->hasRoom(9000, Start + milliseconds(3000))); // larger than the limit, so it runs alone

    const ServiceEstimate estimate = model->estimate(500, 100, Start);
    CHECK(estimate.prefill == milliseconds(500));
    CHECK(estimate.firstToken == milliseconds(3500));
    CHECK(estimate.end == milliseconds(5500));

    for (int i = 0; i < 3; ++i) {
        model->granted(prompt(0), 0, 10, Start);
    }
    CHECK_FALSE(model->hasRoom(0, Start));
    model->released(first, ended(GrantOutcome::Cancelled), Start);
    CHECK(model->hasRoom(0, Start));
    CHECK(model->outstandingPrefillTokens(Start) == 0);
}

// Guards against estimates that stay at the configured speed of a faster or slower target.
TEST_CASE("speeds are learned from releases", "[targetmodel]")
{
    const auto model = makeModel();
    state::Time now = Start;
    for (int i = 0; i < 60; ++i) {
        const PlannedWork work = model->granted(prompt(1000), 0, 101, now);
        SlotRelease release = ended(GrantOutcome::Complete);
        release.promptTokens = 1000;
        release.outputTokens = 101;
        release.timeToFirstToken = milliseconds(500); // 2,000 tokens/s
        release.total = milliseconds(4500); // 25 tokens/s
        now += release.total;
        model->released(work, release, now);
    }
    CHECK(model->prefillTokensPerSecond() == Approx(2000).epsilon(0.02));
    CHECK(model->decodeTokensPerSecond() == Approx(25).epsilon(0.02));
    CHECK(*model->relativeSpeed() == Approx(0.5).epsilon(0.02));
}

// Guards against counting the own grants twice when a late load report arrives.
TEST_CASE("a load report is corrected by what was granted since its measurement", "[targetmodel]")
{
    const auto model = makeModel();
    model->granted(prompt(0), 0, 10, Start);
    model->granted(prompt(0), 0, 10, Start + milliseconds(1000));
    model->loadReported(Start + milliseconds(500), 2, 0, Start + milliseconds(1500));
    CHECK(model->streams(Start + milliseconds(1500)) == 3); // one of the two reported streams is of another origin
    CHECK(model->grantedStreams() == 2);

    model->loadReported(Start + milliseconds(400), 4, 9, Start + milliseconds(1600)); // older than the last one
    CHECK(model->streams(Start + milliseconds(1600)) == 3);
    model->loadReported(Start + milliseconds(1100), 2, 0, Start + milliseconds(1700));
    CHECK(model->streams(Start + milliseconds(1700)) == 2);
    model->loadReported(Start + milliseconds(1200), 9, 0, Start + milliseconds(1800));
    CHECK_FALSE(model->hasRoom(0, Start + milliseconds(1800)));
    CHECK(model->streams(Start + milliseconds(6800)) == 2); // reports expire
}

// Guards against prefill that is planned although the prefix is cached, or the reverse after an eviction.
TEST_CASE("cached prefixes are predicted and corrected by events", "[targetmodel]")
{
    const auto model = makeModel();
    const SlotRequest ask = prompt(1100, { 1, 2, 3 });
    CHECK(model->cachedTokens(ask) == 0);
    model->granted(ask, 0, 10, Start);
    CHECK(model->cachedTokens(ask) == 1024);
    CHECK(model->cachedTokens(prompt(700, { 1, 2, 9 })) == 512);

    const std::array<std::uint64_t, 1> removed{ 2 };
    model->cacheChanged({}, removed, true);
    CHECK(model->cachedTokens(ask) == 256);
    model->cacheChanged(removed, {}, false);
    CHECK(model->cachedTokens(ask) == 1024);
    model->clearCache();
    CHECK(model->cachedTokens(ask) == 0);
}

// Guards against unbounded memory, and against dropping a prefix before those that depend on it.
TEST_CASE("the prefix cache drops the least recently used and longest prefix first", "[targetmodel]")
{
    PrefixCache cache(3);
    const std::array<std::uint64_t, 2> first{ 1, 2 };
    const std::array<std::uint64_t, 2> second{ 1, 3 };
    const std::array<std::uint64_t, 1> third{ 4 };
    cache.use(first);
    cache.use(second);
    cache.use(third);
    CHECK(cache.size() == 3);
    CHECK(cache.match(first) == 1);
    CHECK(cache.match(second) == 2);
    cache.remove(1);
    cache.remove(1);
    CHECK(cache.match(second) == 0);
    CHECK(cache.size() == 2);
    cache.use(first);
    cache.use(second);
    CHECK(cache.size() == 3);
    CHECK(cache.match(second) == 2);
}

// Guards against a failing target that keeps its traffic, and against one that is never tried again.
TEST_CASE("a failing target is ejected, probed with one request and taken back", "[targetmodel]")
{
    const auto model = makeModel();
    fail(*model, TargetModel::FailureLimit - 1, Start);
    CHECK_FALSE(model->isFailing());
    fail(*model, 1, Start);
    CHECK(model->isFailing());
    model->eject(Start);
    model->tick(Start + milliseconds(4999));
    CHECK_FALSE(model->hasRoom(0, Start + milliseconds(4999)));

    const state::Time probe = Start + milliseconds(5000);
    model->tick(probe);
    CHECK(model->health() == TargetModel::Health::Probing);
    CHECK(model->hasRoom(0, probe));
    PlannedWork work = model->granted(prompt(10), 0, 10, probe);
    CHECK_FALSE(model->hasRoom(0, probe));
    model->released(work, ended(GrantOutcome::ConnectRefused), probe);
    CHECK(model->health() == TargetModel::Health::Ejected);

    model->tick(probe + milliseconds(5000));
    work = model->granted(prompt(10), 0, 10, probe + milliseconds(5000));
    model->released(work, ended(GrantOutcome::Complete), probe + milliseconds(5100));
    CHECK(model->health() == TargetModel::Health::Normal);
    CHECK_FALSE(model->isFailing());
}

// Guards against plain services that are planned like engines.
TEST_CASE("the time of a plain service is learned", "[targetmodel]")
{
    const auto model = makeModel(state::PoolKind::Service);
    CHECK(model->estimate(0, 0, Start).end == milliseconds(50));
    for (int i = 0; i < 30; ++i) {
        SlotRelease release = ended(GrantOutcome::Complete);
        release.total = milliseconds(100);
        model->released(model->granted(prompt(0), 0, 0, Start), release, Start + milliseconds(100));
    }
    CHECK(model->serviceSeconds() == Approx(0.1).epsilon(0.02));
}
