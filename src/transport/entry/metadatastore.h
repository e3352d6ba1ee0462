#pragma once

#include "state/failure.h"
#include "state/time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::transport::entry {

/** Topics of the metadata store that an entry host uses. */
enum class StoreTopic {
    Operator, /**< configuration and rollout orders */
    Targets, /**< targets that announce themselves */
    RolloutStatus, /**< outcomes of rollouts, written by hosts */
    Hosts, /**< addresses of the hosts themselves */
    QuotaUse, /**< quota use of the customers, written by hosts */
    BlockedParts, /**< parts of prompts that crash targets, written by hosts */
};

/** Record of a topic, the newest of its key. */
struct StoreRecord
{
    std::string key;
    std::optional<std::string> value; /**< none if the key was removed */
};

/** Result of a read. */
struct StorePage
{
    std::optional<state::Failure> failure;
    bool historyLost = false; /**< records after the requested offset were deleted: read the newest of each key */
    std::vector<StoreRecord> records; /**< in the order in which they were written */
    std::uint64_t next = 0; /**< offset after the last record */
    std::optional<std::uint64_t>
        era; /**< counts how often the store came back from an older copy; none if not stated */
};

/** Result of an append. */
struct StoreAppendResult
{
    enum class Outcome {
        Stored,
        Conflict, /**< the topic no longer ends at the expected offset; nothing was stored */
        Rejected, /**< nothing was stored */
        Unknown, /**< no response; the record may have been stored, or may still be */
    };
    Outcome outcome = Outcome::Unknown;
    std::optional<state::Failure> failure;
    std::optional<std::uint64_t> era; /**< see StorePage::era */
};

/** Client of the deployment's metadata store. Calls on one topic must not overlap. */
class MetadataStore
{
public:
    virtual ~MetadataStore() = default;

    /** Reads the newest record of each key. */
    virtual boost::asio::awaitable<StorePage> readNewest(StoreTopic topic, state::Duration timeout) = 0;

    /** Reads the records from @p offset on; waits up to @p wait for the first one. */
    virtual boost::asio::awaitable<StorePage>
    readSince(StoreTopic topic, std::uint64_t offset, state::Duration wait, state::Duration timeout) = 0;

    /** Appends one record; if @p expectedEnd is given, only if the topic ends at this offset. */
    virtual boost::asio::awaitable<StoreAppendResult> append(StoreTopic topic,
                                                             std::string key,
                                                             std::string value,
                                                             std::optional<std::uint64_t> expectedEnd,
                                                             state::Duration timeout) = 0;
};

} // namespace sapphirecove::transport::entry
