#include "cli/publisher.h"

#include "transport/syncclient.h"

#include <algorithm>

namespace sapphirecove::cli {

namespace {

/** Wait of one read while the own record is looked for. */
constexpr state::Duration ReadWait = std::chrono::seconds(1);

/** Pause after a failed read, so that an outage of the log does not meet a busy loop. */
constexpr state::Duration RetryPause = std::chrono::milliseconds(200);

} // namespace

Publisher::Publisher(ConfigurationLog &log, const coordination::DocumentChecker &checker)
    : m_log(log)
    , m_follower(coordination::ConfigurationFollower::create(checker))
{
}

PublishResult Publisher::publish(const PublishRequest &request)
{
    m_publishId = request.publishId;
    PublishResult result;
    result.detail = readToEnd(m_log.now() + request.wait);
    if (!result.detail.empty()) {
        return result;
    }
    if (!m_follower.isLogGenerationKnown()) {
        result.detail =
            "the log has neither its first record nor a checkpoint, so the generation in force is not known";
        return result;
    }
    const state::Generation generation = m_follower.generation();
    result.base = request.base.value_or(generation);
    // A generation never decreases, so a base below it can no longer be accepted and need not be appended.
    if (result.base != generation) {
        result.outcome = PublishOutcome::NotAccepted;
        result.detail = "base generation " + std::to_string(result.base) + " is not the generation in force, "
            + std::to_string(generation) + "; nothing was appended";
        return result;
    }
    if (const auto notSent = appendOnce(request, result.base)) {
        result.detail = *notSent;
        return result;
    }
    return awaitOutcome(request, result);
}

std::string Publisher::readToEnd(state::Time deadline)
{
    std::string problem;
    while (true) {
        const std::size_t count = state::handleFailure(
            [&] {
                problem.clear();
                return readNext(state::Duration::zero());
            },
            [&](const state::Failure &failure) -> std::size_t {
                problem = state::describe(failure);
                return 0;
            });
        if (problem.empty() && count == 0) {
            return {};
        }
        if (m_log.now() >= deadline) {
            return problem.empty() ? "the log could not be read to its end in time" : problem;
        }
        if (!problem.empty()) {
            m_log.pause(RetryPause);
        }
    }
}

state::Result<std::size_t> Publisher::readNext(state::Duration wait)
{
    BOOST_LEAF_AUTO(answer, m_log.read(m_next.value_or(0), wait));
    if (m_next && answer.first > *m_next) {
        return state::fail("log.read", "", "records expired before they were read");
    }
    const state::Time now = m_log.now();
    const std::size_t count = answer.records.size() + answer.unreadable.size();
    m_follower.readFrom(answer.first);
    for (const state::StoredRecord &stored : answer.records) {
        for (const coordination::ConfigurationOutcome &outcome : m_follower.apply(stored, now)) {
            if (outcome.publication.publishId == m_publishId) {
                m_outcome = outcome.publication;
            }
        }
    }
    m_follower.readTo(answer.next, count == 0, now);
    m_next = answer.next;
    return count;
}

std::optional<std::string> Publisher::appendOnce(const PublishRequest &request, state::Generation base)
{
    const state::ConfigurationPublished record{ request.publishId, base, request.operatorName, request.document };
    return state::handleFailure(
        [&]() -> state::Result<std::optional<std::string>> {
            auto appended = m_log.append(record);
            if (!appended) {
                return appended.error();
            }
            return std::optional<std::string>();
        },
        [](const state::Failure &failure) {
            const bool nothingSent = failure.step == transport::ConnectStep;
            return nothingSent ? std::optional(state::describe(failure)) : std::nullopt;
        });
}

PublishResult Publisher::awaitOutcome(const PublishRequest &request, PublishResult result)
{
    const state::Time deadline = m_log.now() + request.wait;
    result.outcome = PublishOutcome::Unknown;
    result.detail = "the record was not found in the log in time";
    while (!m_outcome && m_log.now() < deadline) {
        const bool read = state::handleFailure(
            [&]() -> state::Result<bool> {
                auto count = readNext(std::min(ReadWait, deadline - m_log.now()));
                if (!count) {
                    return count.error();
                }
                return true;
            },
            [&](const state::Failure &failure) {
                result.detail = state::describe(failure);
                return false;
            });
        if (!read) {
            m_log.pause(RetryPause);
        }
    }
    if (m_outcome) {
        result.outcome = m_outcome->accepted ? PublishOutcome::Accepted : PublishOutcome::NotAccepted;
        result.generation = m_outcome->accepted ? m_outcome->generation : m_follower.generation();
        result.detail = m_outcome->detail;
    }
    return result;
}

} // namespace sapphirecove::cli
