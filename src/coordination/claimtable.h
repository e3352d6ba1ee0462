#pragma once

#include "state/identifiers.h"
#include "state/logrecord.h"
#include "state/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirecove::coordination {

/** Identity of this host and limits of its claim table. */
struct ClaimTableOptions
{
    state::HostId host;
    state::Incarnation incarnation = 0;
    state::Duration retention = std::chrono::hours(24); /**< not longer than the log keeps records */
    std::size_t maxKeys = 300'000; /**< new claims of this host are refused above this */
};

/** State of an idempotency key. */
enum class KeyState {
    Free,
    Held, /**< claimed; the request may run or have run */
    Finished,
};

/** What the log says of an idempotency key. */
struct KeyView
{
    KeyState state = KeyState::Free;
    state::ClaimId claim;
    state::HostId host;
    state::Incarnation incarnation = 0;
    int status = 0; /**< HTTP status, finished keys only */
};

/** Result of one of this host's own claims. */
enum class ClaimResult {
    Unknown, /**< never proposed, or already ended */
    Pending, /**< not read back from the log yet */
    Won,
    Lost,
};

/**
 * Idempotency keys within the retention time of the log, and this host's own claims on them.
 *
 * A claim wins if no other claim holds its key at its position in the log. The verdict never changes: a claim that lost
 * stays lost even if the winner is released later. A key is free again when its holder's claim is released or when a
 * later claim's record is more than the retention time younger. Times are those of the log records, so all readers
 * agree. A record that names a claim id that was read before has no effect.
 *
 * Records of this host are appended again until they are read back, since the answer to an append can be lost.
 */
class ClaimTable
{
public:
    /** At most one append in this time; claims that arrive meanwhile share it. */
    static constexpr state::Duration BatchInterval = std::chrono::milliseconds(20);
    /** Most records in one append. */
    static constexpr std::size_t MaxBatchRecords = 256;
    /** A record that was not read back is appended again after this time. */
    static constexpr state::Duration RepeatInterval = std::chrono::milliseconds(500);
    /** Most own claims that have not ended. */
    static constexpr std::size_t MaxOwnClaims = 8192;
    /** Most releases and results that wait to be read back; the oldest are dropped, and their keys stay held. */
    static constexpr std::size_t MaxUnconfirmed = 8192;
    /** Longest wait between appends while the log refuses them. */
    static constexpr state::Duration MaxBackoff = std::chrono::seconds(1);

    static ClaimTable create(const ClaimTableOptions &options);

    /** Takes the next record of the stream; records before readPosition() and of other streams are ignored. */
    void apply(const state::StoredRecord &stored);

    /** Ends the handling of a read; @p next is the offset after it and @p atEnd is true if no newer record existed. */
    void readTo(state::Offset next, bool atEnd);

    /** Returns the offset from which the stream is to be read next. */
    state::Offset readPosition() const;

    /** Returns whether the stream was read to its end once since start. Until then view() may miss claims. */
    bool isCaughtUp() const;

    /** Returns what the log says of a key, as of the time of the last record read. */
    KeyView view(const state::CustomerId &customer, std::string_view key) const;

    /**
     * Queues a claim of this host. Returns false if the table is full or the id is in use; the request must then be
     * rejected. The caller may dispatch only after result() says Won, and must end the claim with abandon or finish.
     */
    bool propose(const state::ClaimId &claim, const state::CustomerId &customer, std::string_view key, state::Time now);

    /** Returns the result of an own claim that has not ended. */
    ClaimResult result(const state::ClaimId &claim) const;

    /**
     * Ends an own claim whose request was never dispatched and never will be. If the claim holds the key, now or when a
     * late append arrives, it is released.
     */
    void abandon(const state::ClaimId &claim);

    /** Ends an own claim whose request was dispatched; @p status is the HTTP status sent to the caller. */
    void finish(const state::ClaimId &claim, int status);

    /** Returns own claims that hold a key without a request and whose release has not been read back. */
    std::vector<state::ClaimId> unusedClaims() const;

    /** Returns the records for the next append; empty if none is due. */
    std::vector<state::LogRecord> takeBatch(state::Time now);

    /** Delays the next append after the log refused one or did not answer. */
    void appendFailed(state::Time now);

    /** Returns the number of keys in the table. */
    std::size_t size() const;

private:
    /** 128-bit hash of customer and key. */
    struct KeyHash
    {
        std::uint64_t low = 0;
        std::uint64_t high = 0;
        bool operator==(const KeyHash &other) const = default;
    };
    struct KeyHasher
    {
        std::size_t operator()(const KeyHash &key) const
        {
            return key.low;
        }
    };
    struct Entry
    {
        state::ClaimId claim;
        state::Time claimedAt{}; /**< log time */
        std::uint32_t owner = 0; /**< index into m_owners */
        std::int16_t status = 0;
        KeyState state = KeyState::Free;
    };
    struct Expiry
    {
        state::Time time{};
        KeyHash key;
    };
    struct Owner
    {
        state::HostId host;
        state::Incarnation incarnation = 0;
    };
    struct OwnClaim
    {
        state::ClaimMade record;
        std::optional<state::Time> sent;
        ClaimResult result = ClaimResult::Pending;
        bool abandoned = false;
    };
    /** Release or result that has not been read back. */
    struct Unconfirmed
    {
        state::LogRecord record;
        std::optional<state::Time> sent;
    };

    explicit ClaimTable(const ClaimTableOptions &options);

    static KeyHash hashOf(std::string_view customer, std::string_view key);
    void applyClaim(const state::ClaimMade &claim, state::Time time);
    void applyReleased(const state::ClaimReleased &released);
    void applyFinished(const state::ClaimFinished &finished);
    bool isRepeated(const state::ClaimMade &claim, state::Time time);
    void resolveOwn(const state::ClaimMade &claim, bool won);
    void release(const state::ClaimMade &claim);
    void confirm(const state::ClaimId &claim);
    void addUnconfirmed(const state::ClaimId &claim, state::LogRecord record);
    void expire(state::Time time);
    std::uint32_t ownerIndex(const state::HostId &host, state::Incarnation incarnation);
    void takeClaims(state::Time now, std::vector<state::LogRecord> &batch);
    void takeUnconfirmed(state::Time now, std::vector<state::LogRecord> &batch);

    ClaimTableOptions m_options;
    std::unordered_map<KeyHash, Entry, KeyHasher> m_keys;
    std::deque<Expiry> m_expiry; /**< in order of time */
    std::vector<Owner> m_owners;
    std::map<std::pair<state::HostId, state::Incarnation>, std::uint32_t> m_ownerIndex;
    std::unordered_map<std::uint64_t, state::Time> m_released; /**< hash of each released claim id, log time */
    std::deque<std::pair<state::Time, std::uint64_t>> m_releasedExpiry;
    std::map<state::ClaimId, OwnClaim> m_own;
    std::map<state::ClaimId, Unconfirmed> m_unconfirmed;
    state::Offset m_position = 0;
    state::Time m_logTime{};
    bool m_caughtUp = false;
    state::Time m_nextBatch{};
    state::Duration m_backoff{};
};

} // namespace sapphirecove::coordination
