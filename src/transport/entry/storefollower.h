#pragma once

#include "coordination/entry/storeera.h"
#include "state/time.h"
#include "transport/entry/metadatastore.h"
#include "transport/entry/operatorrelay.h"
#include "transport/entry/servingcontext.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::transport::entry {

/**
 * Keeps the configuration, targets and peers of this host up to date with the metadata store.
 *
 * Candidate deciders read the operator's topic with a long poll, so that a new version arrives at once and each
 * response confirms the configuration, and the topic of targets at intervals. Other hosts learn from them that their
 * configuration is still the newest, and read the store themselves only if no candidate responds.
 */
class StoreFollower
{
public:
    StoreFollower(ServingContext &context, MetadataStore &store);

    /** Binds the relay that provides records to other hosts; fails if its port cannot be used. */
    state::Result<void> bind();

    /** Starts to follow all topics. */
    void start();

private:
    /** State of the calls on one topic. */
    struct TopicState
    {
        std::optional<std::uint64_t> next; /**< offset to read from; none until the newest records were read */
        std::optional<std::uint64_t> era; /**< of the store, to which the offset belongs; none if it states none */
        bool unavailable = false; /**< the last call failed */
        state::Time recoveredAt{}; /**< when a call succeeded again after a failure */
        state::Duration retryDelay{}; /**< before the next call after a failure */
        state::Duration newestTimeout{}; /**< of the next call for the newest records; longer after each failure */
    };

    /** End of a topic in one era. */
    struct TopicEnd
    {
        std::uint64_t offset = 0;
        std::optional<std::uint64_t> era;
    };

    using Task = boost::asio::awaitable<void> (StoreFollower::*)();

    boost::asio::awaitable<void> supervise(std::string_view name, Task task);
    boost::asio::awaitable<void> followOperator();
    boost::asio::awaitable<void> followTargets();
    state::Time confirmationTime(const StorePage &page, state::Time sent, state::Duration wait) const;
    bool confirmedByPeers(state::Time now) const;
    boost::asio::awaitable<bool> fetchFromPeer();
    std::optional<OperatorRelay::EncodedState> stateForPeers();
    std::optional<protocol::Endpoint> newerConfigurationSource(state::Time now) const;
    bool awaitsPeerConfiguration(state::Time now) const;
    std::uint64_t knownVersion() const;
    bool isOutdated(std::uint64_t version) const
    {
        return version < m_context.announcedVersion;
    }
    boost::asio::awaitable<void> announceHost();
    boost::asio::awaitable<void> discoverHosts();
    bool isDecider() const;
    boost::asio::awaitable<void> restoreQuotaUse();
    boost::asio::awaitable<void> restoreBlockedParts();
    boost::asio::awaitable<void> persistDeciderState();
    boost::asio::awaitable<void> persistQuotaUse();
    boost::asio::awaitable<void> persistBlockedParts();
    boost::asio::awaitable<void> evaluateRollouts();
    boost::asio::awaitable<void> publishRollouts();
    void logRolloutProgress();
    boost::asio::awaitable<std::optional<TopicEnd>> readRolloutStatus();
    boost::asio::awaitable<bool> publishRolloutStatus(state::entry::RolloutStatus status);
    boost::asio::awaitable<StorePage> read(StoreTopic topic, TopicState &topicState, state::Duration wait);
    boost::asio::awaitable<void> sleepFor(state::Duration duration);
    void applyEra(StoreTopic topic, TopicState &topicState, StorePage &page);
    bool mayHoldOldRecords() const;
    void observeEra(std::optional<std::uint64_t> era);
    void adoptOffset(const protocol::OperatorState &fetched);
    void recordReadResult(StoreTopic topic, TopicState &topicState, const StorePage &page);
    void
    applyOperator(const std::vector<StoreRecord> &records, bool complete, coordination::entry::TopicPosition position);
    void applyEvacuations(const std::vector<StoreRecord> &records,
                          bool complete,
                          coordination::entry::TopicPosition position);
    std::optional<bool> applyConfiguration(const StoreRecord &record);
    bool useConfiguration(const StoreRecord &record);
    void provideToPeers(const StoreRecord &record);
    void logRegionProblems(const state::entry::RoutingTable &table) const;
    void applyRollout(const StoreRecord &record);
    bool isHostAddress(const state::entry::TargetEntry &entry) const;
    void applyTargets(const StorePage &page, bool complete, const TopicState &topicState);

    ServingContext &m_context;
    MetadataStore &m_store;
    std::unique_ptr<OperatorRelay> m_relay;
    std::map<std::string, std::string> m_operatorRecords; /**< newest documents by key, for other hosts */
    std::string m_encodedRecords; /**< encoded m_operatorRecords; empty if they have changed since */
    state::Time m_started{};
    bool m_hostsKnown = false; /**< a read of the list of hosts has succeeded or failed */
    state::Time m_blockedPartsRetryAt{}; /**< after a failure to store them */
    coordination::entry::StoreEra m_era;
    std::optional<std::uint64_t> m_announcedInEra; /**< era in which this host has announced itself */
    state::Time m_restoredAt{}; /**< when this host learned of the last restore; zero if there was none */
    bool m_storeOutdated = false; /**< the store's newest configuration is older than one that a host has */
    bool m_stateRestored = false; /**< the state from before the start of this host was read */
    std::map<std::string, state::entry::RolloutState> m_unpublishedRollouts; /**< outcomes by service */
    bool m_rolloutsUnconfirmed = false; /**< the store may have lost the published states of rollouts */
    TopicState m_operatorTopic;
    TopicState m_targetsTopic;
};

} // namespace sapphirecove::transport::entry
