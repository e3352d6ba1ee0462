#pragma once

#include "coordination/documentchecker.h"
#include "coordination/message.h"
#include "coordination/statusreport.h"
#include "state/configuration.h"
#include "state/logrecord.h"
#include "state/time.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirecove::coordination {

/** Decision on one published record, or adoption of a configuration from a checkpoint or a peer. */
struct ConfigurationOutcome
{
    PublicationStatus publication;
    AuditEntry audit;
};

/**
 * Follows the configuration stream and decides which configuration is in force.
 *
 * A published record is accepted or rejected only if the generation in force at its position in the log is known
 * exactly. It is known at offset 0 (generation 0), and from then on as long as no record is missed. When records expire
 * before this host has read them, the generation is unknown. The following records are then kept as pending until a
 * checkpoint or a peer's offer names a generation and the offset at which it was in force; the pending records from
 * that offset on are evaluated then. All hosts therefore decide equally on each record, whenever they start.
 *
 * The configuration in force is the one with the highest known generation, whether or not it came with an exact
 * offset; its generation never decreases. The decision on a record depends only on the generation at its position and
 * on the document; hosts whose program versions check documents differently can decide differently.
 *
 * For each read of the stream, call readFrom, then apply for each record, then readTo.
 */
class ConfigurationFollower
{
public:
    /** Limit on decisions kept for operators. */
    static constexpr std::size_t MaxPublications = 256;
    /** Limits on pending records. The oldest are dropped; then only an offset after them can end the unknown state. */
    static constexpr std::size_t MaxPendingRecords = 1024;
    static constexpr std::size_t MaxPendingBytes = std::size_t{ 16 } * 1024 * 1024;
    /** Shortest time between two requests to peers and between two checkpoints of this host. */
    static constexpr state::Duration RequestInterval = std::chrono::milliseconds(500);
    static constexpr state::Duration CheckpointInterval = std::chrono::seconds(10);
    /** Time for which a peer may be ahead before this host requests its configuration; the log is usually faster. */
    static constexpr state::Duration PeerAheadTolerance = std::chrono::seconds(1);

    /** @p checker must outlive the follower. */
    static ConfigurationFollower create(const DocumentChecker &checker);

    /** Starts the handling of a read; @p first is the oldest offset that the log keeps. */
    void readFrom(state::Offset first);

    /**
     * Applies the next record of the stream; records before readPosition() are ignored. Returns the decisions that the
     * record made possible: none while the generation at its position is unknown, several when it ends that state.
     */
    std::vector<ConfigurationOutcome> apply(const state::StoredRecord &stored, state::Time now);

    /**
     * Ends the handling of a read; @p next is the offset after it and @p atEnd is true if no newer record existed. If
     * the log keeps no record at all and no peer has a configuration, the generation starts again at 0.
     */
    void readTo(state::Offset next, bool atEnd, state::Time now);

    /** Returns the offset from which the stream is to be read next. */
    state::Offset readPosition() const;

    /**
     * Applies a peer's configuration. An offer of a lower generation is ignored. One with an offset that this host has
     * not passed also determines the generation at that offset.
     */
    std::vector<ConfigurationOutcome> applyOffer(const ConfigurationOffer &offer, state::Time now);

    /** Returns the answer to a peer's request; empty if this host has nothing that the peer lacks. */
    std::optional<ConfigurationOffer> offer(const ConfigurationRequest &request) const;

    /**
     * Sets the highest generation of the live peers, and whether every live peer has been heard from
     * (Membership::isSettled). Call it at each tick.
     */
    void updatePeers(state::Generation highest, bool settled, state::Time now);

    /**
     * Returns a request for a peer when one is due: while there is no configuration, a peer is ahead for
     * PeerAheadTolerance, or the generation at the log position is unknown. At most one each RequestInterval.
     */
    std::optional<ConfigurationRequest> request(state::Time now);

    /**
     * Returns whether this host has a configuration at least as new as that of every live peer. Once true it stays
     * true, so that a ready host that falls behind for a moment is not removed from the load balancer.
     */
    bool isReady() const;

    /**
     * Returns whether the configuration in force must be repeated in the log, because half of @p retention has passed
     * since the last record that contained it. Only the host selected for the task appends the checkpoint.
     */
    bool needsCheckpoint(state::Time now, state::Duration retention) const;

    /** Returns the checkpoint to append and starts CheckpointInterval. Call it only if needsCheckpoint(). */
    state::ConfigurationCheckpoint checkpoint(state::Time now);

    /** Returns the configuration in force, or nullptr. */
    std::shared_ptr<const state::Configuration> configuration() const;

    /** Returns the generation in force; 0 if there is none. */
    state::Generation generation() const;

    /** Returns the publish id of the configuration in force. */
    const std::string &publishId() const;

    /** Returns whether the generation at the log position is known exactly. */
    bool isLogGenerationKnown() const;

    /** Returns the newest decisions, oldest first. */
    const std::deque<PublicationStatus> &publications() const;

private:
    /** Accepted configuration with its origin. */
    struct AcceptedConfiguration
    {
        state::Generation generation = 0;
        std::string publishId;
        std::string operatorName;
        std::string document;
        std::shared_ptr<const state::Configuration> configuration;
        std::optional<state::Time> lastLoggedAt; /**< log time of the last record that contained it */
    };

    explicit ConfigurationFollower(const DocumentChecker &checker);

    using Outcomes = std::vector<ConfigurationOutcome>;

    void evaluate(const state::StoredRecord &stored, state::Time now, Outcomes &outcomes);
    void evaluatePublication(const state::StoredRecord &stored, Outcomes &outcomes);
    void evaluateCheckpoint(const state::StoredRecord &stored, state::Time now, Outcomes &outcomes);
    void applyWithUnknownGeneration(const state::StoredRecord &stored, state::Time now, Outcomes &outcomes);
    void addPending(const state::StoredRecord &stored);
    void
    resolveGeneration(const AcceptedConfiguration &version, state::Offset offset, state::Time now, Outcomes &outcomes);
    void adopt(const AcceptedConfiguration &version, const std::string &source, state::Time now, Outcomes &outcomes);
    bool addPublication(const PublicationStatus &publication);
    void updateLastLogged(state::Generation generation, state::Time time);
    std::optional<AcceptedConfiguration> validated(const AcceptedConfiguration &version, std::string &problem) const;
    void resetIfLogEmpty(state::Offset next);
    void updateReadiness();

    const DocumentChecker *m_checker;
    AcceptedConfiguration m_inForce;
    AcceptedConfiguration m_logVersion; /**< version in force at m_position, if m_logGenerationKnown */
    bool m_logGenerationKnown = true;
    state::Offset m_position = 0;
    state::Offset m_first = 0; /**< oldest offset that the log keeps */
    std::deque<state::StoredRecord> m_pending;
    std::size_t m_pendingBytes = 0;
    state::Offset m_pendingFrom = 0; /**< all records between this offset and m_position are in m_pending */
    std::deque<PublicationStatus> m_publications;
    state::Generation m_highestPeer = 0;
    bool m_settled = false;
    bool m_ready = false;
    bool m_atEnd = false;
    std::optional<state::Time> m_readAt; /**< when the end of the stream was last read, on this host's clock */
    std::optional<state::Time> m_behindSince;
    std::optional<state::Time> m_lastRequest;
    std::optional<state::Time> m_lastCheckpoint;
};

} // namespace sapphirecove::coordination
