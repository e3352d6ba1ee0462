#pragma once

#include "standins/options.h"

#include <map>

namespace sapphirecove::standins {

/** Faults of one version. They apply to a request only if all conditions hold when the request arrives. */
struct VersionFaults
{
    double errorRate = 0; /**< fraction of requests that get status 500 */
    double slowdown = 1; /**< factor by which prefill and decode take longer */
    int afterRequests = 0; /**< condition: at least this many earlier requests reached this version */
    int aboveRunning = -1; /**< condition: more than this many requests are in the batch */
    std::string promptPrefix; /**< condition: the prompt text starts with this */
};

template <typename Visitor>
void visit(VersionFaults &faults, Visitor &&visitor)
{
    visitor("error_rate", faults.errorRate);
    visitor("slowdown", faults.slowdown);
    visitor("after_requests", faults.afterRequests);
    visitor("above_running", faults.aboveRunning);
    visitor("prompt_prefix", faults.promptPrefix);
}

/** Behaviour of one engine; `POST /standin/options` changes it at run time. Times are divided by timeFactor. */
struct EngineOptions
{
    int streams = 8; /**< largest number of requests in the batch */
    int maxWaiting = 1000; /**< requests waiting for the batch; further ones get status 503 */
    double prefillTokensPerSecond = 8000; /**< shared by all prompts in prefill */
    double decodeTokensPerSecond = 40; /**< of a single stream in the batch */
    double batchSlowdown = 0.02; /**< with n further streams the decode speed is divided by 1 + n * this */
    double speed = 1; /**< factor on the prefill and decode speeds */
    double timeFactor = 1; /**< simulated seconds per real second */
    int cacheBlocks = 4096; /**< capacity of the prefix cache, in blocks of 1,024 bytes */
    int loadLagMs = 1000; /**< age of the load report that is returned */
    int cacheEventLagMs = 500; /**< age of the newest cache event that is returned */
    double cacheEventLossRate = 0; /**< fraction of cache events that are never returned */
    bool checksFencing = true; /**< orders with an outdated fencing number get status 409 */
    bool resumes = true; /**< supports GET /v1/streams/{id} */
    int loadTimeMs = 2000; /**< time to load a version; ignored if a weight store is set */
    std::string weights; /**< address:port of the weight store, or empty */
    std::string version = "v1";
    double errorRate = 0; /**< fraction of requests that get status 500 */
    bool stalled = false; /**< the batch makes no progress */
    int breakAfterTokens = 0; /**< closes the connection of each stream once, after this many tokens; 0 disables it */
    double lostAnswerRate = 0; /**< fraction of requests that run but lose their connection before the response ends */
    double lostOrderAnswerRate = 0; /**< fraction of orders that take effect but get no response */
    std::uint64_t seed = 1;
    std::map<std::string, VersionFaults> versions;
};

template <typename Visitor>
void visit(EngineOptions &options, Visitor &&visitor)
{
    visitor("streams", options.streams);
    visitor("max_waiting", options.maxWaiting);
    visitor("prefill_tokens_per_second", options.prefillTokensPerSecond);
    visitor("decode_tokens_per_second", options.decodeTokensPerSecond);
    visitor("batch_slowdown", options.batchSlowdown);
    visitor("speed", options.speed);
    visitor("time_factor", options.timeFactor);
    visitor("cache_blocks", options.cacheBlocks);
    visitor("load_lag_ms", options.loadLagMs);
    visitor("cache_event_lag_ms", options.cacheEventLagMs);
    visitor("cache_event_loss_rate", options.cacheEventLossRate);
    visitor("checks_fencing", options.checksFencing);
    visitor("resumes", options.resumes);
    visitor("load_time_ms", options.loadTimeMs);
    visitor("weights", options.weights);
    visitor("version", options.version);
    visitor("error_rate", options.errorRate);
    visitor("stalled", options.stalled);
    visitor("break_after_tokens", options.breakAfterTokens);
    visitor("lost_answer_rate", options.lostAnswerRate);
    visitor("lost_order_answer_rate", options.lostOrderAnswerRate);
    visitor("seed", options.seed);
}

/** Like applyJson, but also sets the faults of each version under `versions`. */
inline std::string applyEngineJson(EngineOptions &options, boost::json::value value)
{
    auto *object = value.if_object();
    if (object == nullptr) {
        return "expected an object";
    }
    if (const auto *versions = object->if_contains("versions")) {
        if (!versions->is_object()) {
            return "wrong type: versions";
        }
        for (const auto &version : versions->get_object()) {
            VersionFaults faults;
            if (auto problem = applyJson(faults, version.value()); !problem.empty()) {
                return problem;
            }
            options.versions[std::string(version.key())] = faults;
        }
        object->erase("versions");
    }
    return applyJson(options, value);
}

} // namespace sapphirecove::standins
