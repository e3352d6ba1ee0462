#pragma once

#include "tests/integration/fleet.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace sapphirecove::integration {

/** One call of the background traffic, with its outcome. */
struct TrafficCall
{
    std::size_t host = 0;
    std::chrono::steady_clock::time_point started;
    ChatOutcome outcome;
};

/** Streamed calls with different prompts, sent by several threads to all hosts in turn until stopped. */
class Traffic
{
public:
    Traffic(const Fleet &fleet, std::size_t threads, int maxTokens);
    ~Traffic();
    Traffic(const Traffic &) = delete;
    Traffic &operator=(const Traffic &) = delete;

    /** Sends no more calls to @p host, as a load balancer does for a host that isn't ready. */
    void excludeHost(std::size_t host);
    /** Waits until @p count calls that start from now on have completed correctly. */
    bool waitForCorrect(std::size_t count);
    /** Starts no more calls, waits for those in progress, and returns all calls. */
    std::vector<TrafficCall> stop();

private:
    void send(std::size_t thread);
    std::optional<std::size_t> chooseHost(std::size_t number);

    const Fleet &m_fleet;
    int m_maxTokens;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::size_t> m_nextCallNumber = 0;
    std::mutex m_mutex; // guards m_excludedHosts and m_calls
    std::set<std::size_t> m_excludedHosts;
    std::vector<TrafficCall> m_calls;
    std::vector<std::thread> m_threads;
};

/** Result of comparing outcomes with the requests that the stand-ins received. */
struct VerificationResult
{
    std::vector<std::string> violations;
    std::size_t correct = 0;
    std::map<std::string, std::size_t> rejected; /**< by reason */
};

/**
 * Checks outcomes of calls with different bodies: no request id and no body was received twice, each complete response
 * is correct and its request was executed once, an incomplete response has no byte of another one, and no request that
 * was rejected with "executed: no" was received by any stand-in.
 */
VerificationResult verify(const std::vector<ChatOutcome> &outcomes, const std::vector<StandinRecord> &records);

} // namespace sapphirecove::integration
