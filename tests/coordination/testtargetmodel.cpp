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

SlotRequest makePrompt(std::uint32_t tokens, std::vector<std::uint64_t> hashes = {})
{
    SlotRequest slotRequest = makeSlotRequest("request");
    slotRequest.promptTokens = tokens;
    slotRequest.prefixHashes = std::move(hashes);
    return slotRequest;
}

SlotRelease makeRelease(GrantOutcome outcome)
{
    SlotRelease release;
    release.outcome = outcome;
    return release;
}

void failRequests(TargetModel &model, int count, state::Time now)
{
    for (int i = 0; i < count; ++i) {
        model.released(model.granted(makePrompt(10), 0, 10, now), makeRelease(GrantOutcome::Failed), now);
    }
}

} // namespace

// Guards against batches with more streams or prefill tokens than the target supports.
TEST_CASE("a target has room up to its streams and prefill tokens", "[targetmodel]")
{
    const auto model = makeModel();
    const PlannedWork first = model->granted(makePrompt(3000), 0, 100, Start);
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
        model->granted(makePrompt(0), 0, 10, Start);
    }
    CHECK_FALSE(model->hasRoom(0, Start));
    model->released(first, makeRelease(GrantOutcome::Cancelled), Start);
    CHECK(model->hasRoom(0, Start));
    CHECK(model->outstandingPrefillTokens(Start) == 0);
}

// Guards against estimates that keep using the configured speed although the target is faster or slower.
TEST_CASE("speeds are learned from releases", "[targetmodel]")
{
    const auto model = makeModel();
    state::Time now = Start;
    for (int i = 0; i < 60; ++i) {
        const PlannedWork work = model->granted(makePrompt(1000), 0, 101, now);
        SlotRelease release = makeRelease(GrantOutcome::Complete);
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

// Guards against counting the grants of the arbiter twice when a delayed load report arrives.
TEST_CASE("a load report is corrected by what was granted since its measurement", "[targetmodel]")
{
    const auto model = makeModel();
    model->granted(makePrompt(0), 0, 10, Start);
    model->granted(makePrompt(0), 0, 10, Start + milliseconds(1000));
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

// Guards against estimates that include the prefill of cached prefixes, or omit it after an eviction.
TEST_CASE("cached prefixes are predicted and corrected by events", "[targetmodel]")
{
    const auto model = makeModel();
    const SlotRequest slotRequest = makePrompt(1100, { 1, 2, 3 });
    CHECK(model->cachedTokens(slotRequest) == 0);
    model->granted(slotRequest, 0, 10, Start);
    CHECK(model->cachedTokens(slotRequest) == 1024);
    CHECK(model->cachedTokens(makePrompt(700, { 1, 2, 9 })) == 512);

    const std::array<std::uint64_t, 1> removed{ 2 };
    model->cacheChanged({}, removed, true);
    CHECK(model->cachedTokens(slotRequest) == 256);
    model->cacheChanged(removed, {}, false);
    CHECK(model->cachedTokens(slotRequest) == 1024);
    model->clearCache();
    CHECK(model->cachedTokens(slotRequest) == 0);
}

// Guards against unbounded memory, and against evicting a prefix before those that depend on it.
TEST_CASE("the prefix cache evicts the least recently used and longest prefix first", "[targetmodel]")
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

// Guards against a failing target that keeps getting requests, and against one that is never probed again.
TEST_CASE("a failing target is ejected, probed with one request and readmitted", "[targetmodel]")
{
    const auto model = makeModel();
    failRequests(*model, TargetModel::FailureLimit - 1, Start);
    CHECK_FALSE(model->isFailing());
    failRequests(*model, 1, Start);
    CHECK(model->isFailing());
    model->eject(Start);
    model->tick(Start + milliseconds(4999));
    CHECK_FALSE(model->hasRoom(0, Start + milliseconds(4999)));

    const state::Time probe = Start + milliseconds(5000);
    model->tick(probe);
    CHECK(model->health() == TargetModel::Health::Probing);
    CHECK(model->hasRoom(0, probe));
    PlannedWork work = model->granted(makePrompt(10), 0, 10, probe);
    CHECK_FALSE(model->hasRoom(0, probe));
    model->released(work, makeRelease(GrantOutcome::ConnectRefused), probe);
    CHECK(model->health() == TargetModel::Health::Ejected);

    model->tick(probe + milliseconds(5000));
    work = model->granted(makePrompt(10), 0, 10, probe + milliseconds(5000));
    model->released(work, makeRelease(GrantOutcome::Complete), probe + milliseconds(5100));
    CHECK(model->health() == TargetModel::Health::Normal);
    CHECK_FALSE(model->isFailing());
}

// Guards against estimates for plain services that use the token speeds of engines.
TEST_CASE("the service time of a plain service is learned", "[targetmodel]")
{
    const auto model = makeModel(state::PoolKind::Service);
    CHECK(model->estimate(0, 0, Start).end == milliseconds(50));
    for (int i = 0; i < 30; ++i) {
        SlotRelease release = makeRelease(GrantOutcome::Complete);
        release.total = milliseconds(100);
        model->released(model->granted(makePrompt(0), 0, 0, Start), release, Start + milliseconds(100));
    }
    CHECK(model->serviceSeconds() == Approx(0.1).epsilon(0.02));
}
