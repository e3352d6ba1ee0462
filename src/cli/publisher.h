#pragma once

#include "cli/configurationlog.h"
#include "coordination/configurationfollower.h"
#include "coordination/documentchecker.h"

#include <optional>
#include <string>

namespace sapphirecove::cli {

/** A validated configuration document to publish, with its parameters. */
struct PublishRequest
{
    std::string publishId; /**< unique; identifies the record in the log */
    std::string operatorName;
    std::string document;
    std::optional<state::Generation> base; /**< generation that the change is based on; absent: the one in force */
    state::Duration wait{}; /**< limit for reading the log before the append, and again for finding the record */
};

/** Outcome of a publication. */
enum class PublishOutcome {
    Accepted,
    NotAccepted,
    NotSent, /**< no record was appended */
    Unknown, /**< the record may be in the log */
};

/** Outcome of a publication with the generations and the reason. */
struct PublishResult
{
    PublishOutcome outcome = PublishOutcome::NotSent;
    state::Generation base = 0;
    state::Generation generation = 0; /**< in force after the record; 0 if the record was not found */
    std::string detail;
};

/** Publishes one document. It appends at most one record and determines the outcome only from reading the log. */
class Publisher
{
public:
    /** @p log and @p checker must outlive the publisher. */
    Publisher(ConfigurationLog &log, const coordination::DocumentChecker &checker);

    /** Publishes the document. To be called only once: a second call would append a second record. */
    PublishResult publish(const PublishRequest &request);

private:
    /** Reads the log up to its current end. Returns an error message, empty on success. */
    std::string readToEnd(state::Time deadline);

    /** Appends the record without retries. Returns an error message if the connection failed and nothing was sent. */
    std::optional<std::string> appendOnce(const PublishRequest &request, state::Generation base);

    PublishResult awaitOutcome(const PublishRequest &request, PublishResult result);

    /** Reads the next records and returns their number. Sets m_outcome if the record of m_publishId is among them. */
    state::Result<std::size_t> readNext(state::Duration wait);

    ConfigurationLog &m_log;
    coordination::ConfigurationFollower m_follower;
    std::optional<state::Offset> m_next;
    std::string m_publishId;
    std::optional<coordination::PublicationStatus> m_outcome;
};

} // namespace sapphirecove::cli
