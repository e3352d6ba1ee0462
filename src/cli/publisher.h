#pragma once

#include "cli/configurationlog.h"
#include "coordination/configurationfollower.h"
#include "coordination/documentchecker.h"

#include <optional>
#include <string>

namespace sapphirecove::cli {

/** One publication of a checked document. */
struct PublishRequest
{
    std::string publishId; /**< unique; the publication is found again by it */
    std::string operatorName;
    std::string document;
    std::optional<state::Generation> base; /**< absent for the generation in force */
    state::Duration wait{}; /**< for each of reading the log before the append and finding the record after it */
};

/** What became of a publication. */
enum class PublishOutcome {
    Accepted,
    NotAccepted,
    NotSent, /**< no record was appended */
    Unknown, /**< the record may be in the log */
};

/** Result of a publication. */
struct PublishResult
{
    PublishOutcome outcome = PublishOutcome::NotSent;
    state::Generation base = 0;
    state::Generation generation = 0; /**< in force after the record; 0 unless it was found */
    std::string detail;
};

/** Publishes one document: appends at most once and judges the outcome from the log alone. */
class Publisher
{
public:
    /** Both arguments must outlive the publisher. */
    Publisher(ConfigurationLog &log, const coordination::DocumentChecker &checker);

    /** Publishes once; a second call would append a second record. */
    PublishResult publish(const PublishRequest &request);

private:
    /** Reads the log to its present end. Returns what went wrong; empty if nothing did. */
    std::string readToEnd(state::Time deadline);

    /** Appends the record. Returns the failure of a connection over which nothing was sent. */
    std::optional<std::string> appendOnce(const PublishRequest &request, state::Generation base);

    PublishResult awaitOutcome(const PublishRequest &request, PublishResult result);

    /** Reads the next records. Returns how many there were, and the outcome of @p publishId if it was among them. */
    state::Result<std::size_t> readNext(state::Duration wait);

    ConfigurationLog &m_log;
    coordination::ConfigurationFollower m_follower;
    std::optional<state::Offset> m_next;
    std::string m_publishId;
    std::optional<coordination::PublicationStatus> m_outcome;
};

} // namespace sapphirecove::cli
