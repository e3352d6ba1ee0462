#include "protocol/publicationtracker.h"

namespace sapphirecove::protocol {

PublicationTracker::PublicationTracker(const coordination::DocumentChecker &checker)
    : m_checker(checker)
{
}

void PublicationTracker::start(state::Offset first)
{
    m_generation = first == 0 ? std::optional<state::Generation>(0) : std::nullopt;
}

std::optional<PublicationOutcome> PublicationTracker::apply(const state::LogRecord &record)
{
    if (const auto *checkpoint = std::get_if<state::ConfigurationCheckpoint>(&record)) {
        if (!m_generation || checkpoint->generation > *m_generation) {
            m_generation = checkpoint->generation;
        }
        return std::nullopt;
    }
    const auto *published = std::get_if<state::ConfigurationPublished>(&record);
    return published == nullptr || !m_generation ? std::nullopt : applyPublished(*published);
}

std::optional<PublicationOutcome> PublicationTracker::applyPublished(const state::ConfigurationPublished &record)
{
    PublicationOutcome outcome{ record.publishId, false, *m_generation, "" };
    if (record.baseGeneration != *m_generation) {
        outcome.detail = "base generation " + std::to_string(record.baseGeneration)
            + " is not the generation in force, " + std::to_string(*m_generation);
        return outcome;
    }
    outcome.detail = state::handleFailure(
        [&]() -> state::Result<std::string> {
            auto configuration = m_checker.check(record.document);
            if (!configuration) {
                return configuration.error();
            }
            return std::string();
        },
        [](const state::Failure &failure) {
            return failure.detail.empty() ? std::string("document not valid") : failure.detail;
        });
    if (outcome.detail.empty()) {
        outcome.accepted = true;
        m_generation = ++outcome.generation;
    }
    return outcome;
}

} // namespace sapphirecove::protocol
