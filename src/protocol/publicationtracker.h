#pragma once

#include "coordination/documentchecker.h"
#include "state/logrecord.h"

#include <optional>
#include <string>

namespace sapphirecove::protocol {

/** Outcome of one publication according to the log. */
struct PublicationOutcome
{
    std::string publishId;
    bool accepted = false;
    state::Generation generation = 0; /**< in force after the record */
    std::string detail; /**< why the record was not accepted */
};

/**
 * Applies the acceptance rule of section 4.2 to the records of the configuration stream in their order, without keeping
 * any configuration. Commands use it to judge a publication; hosts use the decision library.
 */
class PublicationTracker
{
public:
    /** @p checker must outlive the tracker. */
    explicit PublicationTracker(const coordination::DocumentChecker &checker);

    /** Starts at the oldest retained record; the generation is known at once only if no record has expired. */
    void start(state::Offset first);

    /** Applies the next record. Returns the outcome if it is a publication and the generation before it is known. */
    std::optional<PublicationOutcome> apply(const state::LogRecord &record);

    /** Returns the generation in force; absent if the log no longer shows it. */
    std::optional<state::Generation> generation() const
    {
        return m_generation;
    }

private:
    std::optional<PublicationOutcome> applyPublished(const state::ConfigurationPublished &record);

    const coordination::DocumentChecker &m_checker;
    std::optional<state::Generation> m_generation;
};

} // namespace sapphirecove::protocol
