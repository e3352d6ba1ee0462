#include "tests/integration/traffic.h"

#include "tests/integration/waitfor.h"

#include <algorithm>

namespace sapphirecove::integration {

namespace {

/** Limit of calls in one run, so that immediate rejections can't lead to endless traffic. */
constexpr std::size_t MaxCalls = 20'000;
/** Pause of a thread after a call without a correct response, like the pause of real clients between attempts. */
constexpr auto PauseAfterFailure = std::chrono::milliseconds(20);

} // namespace

Traffic::Traffic(const Fleet &fleet, std::size_t threads, int maxTokens)
    : m_fleet(fleet)
    , m_maxTokens(maxTokens)
{
    for (std::size_t thread = 0; thread < threads; ++thread) {
        m_threads.emplace_back([this, thread] {
            send(thread);
        });
    }
}

Traffic::~Traffic()
{
    stop();
}

void Traffic::excludeHost(std::size_t host)
{
    const std::scoped_lock lock(m_mutex);
    m_excludedHosts.insert(host);
}

std::optional<std::size_t> Traffic::chooseHost(std::size_t number)
{
    const std::scoped_lock lock(m_mutex);
    for (std::size_t step = 0; step < m_fleet.size(); ++step) {
        const std::size_t host = (number + step) % m_fleet.size();
        if (!m_excludedHosts.contains(host)) {
            return host;
        }
    }
    return std::nullopt;
}

void Traffic::send(std::size_t thread)
{
    for (std::size_t number = m_nextCallNumber++; !m_stopping && number < MaxCalls; number = m_nextCallNumber++) {
        const auto host = chooseHost(number);
        if (!host) {
            return;
        }
        const auto prompt = "thread " + std::to_string(thread) + " call " + std::to_string(number);
        const auto started = std::chrono::steady_clock::now();
        auto outcome = chat(m_fleet.chatCall(*host, prompt, m_maxTokens));
        const bool isCorrect = outcome.isCorrect();
        {
            const std::scoped_lock lock(m_mutex);
            m_calls.push_back({ *host, started, std::move(outcome) });
        }
        if (!isCorrect) {
            std::this_thread::sleep_for(PauseAfterFailure);
        }
    }
}

bool Traffic::waitForCorrect(std::size_t count)
{
    const auto from = std::chrono::steady_clock::now();
    return waitFor([&] {
        const std::scoped_lock lock(m_mutex);
        const auto correct = std::count_if(m_calls.begin(), m_calls.end(), [&](const TrafficCall &trafficCall) {
            return trafficCall.started >= from && trafficCall.outcome.isCorrect();
        });
        return static_cast<std::size_t>(correct) >= count;
    });
}

std::vector<TrafficCall> Traffic::stop()
{
    m_stopping = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    return m_calls;
}

VerificationResult verify(const std::vector<ChatOutcome> &outcomes, const std::vector<StandinRecord> &records)
{
    VerificationResult result;
    std::map<std::string, int> received;
    std::map<std::string, int> bodies;
    for (const auto &record : records) {
        if (record.requestId.empty()) {
            result.violations.push_back("request without id: " + record.bodyHash);
        }
        if (++received[record.requestId] == 2) {
            result.violations.push_back("request id received twice: " + record.requestId);
        }
        if (++bodies[record.bodyHash] == 2) {
            result.violations.push_back("body received twice: " + record.bodyHash);
        }
    }
    for (const auto &outcome : outcomes) {
        const bool wasReceived = bodies.contains(outcome.bodyHash);
        if (outcome.isCorrect()) {
            ++result.correct;
        }
        if (!outcome.reason.empty()) {
            ++result.rejected[outcome.reason];
        }
        if (!outcome.isPrefixOfExpected() || (outcome.status == 200 && outcome.isComplete && !outcome.isCorrect())) {
            result.violations.push_back("wrong completion: " + outcome.content + " instead of " + outcome.expected);
        }
        if (outcome.isCorrect() && !wasReceived) {
            result.violations.push_back("completed without execution: " + outcome.bodyHash);
        }
        if (outcome.executed == "no" && wasReceived) {
            result.violations.push_back("rejected as not executed, but received by a stand-in: " + outcome.reason);
        }
    }
    return result;
}

} // namespace sapphirecove::integration
