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
    std::size_t maxClaims = 300'000; /**< claims in force at which new claims of this host are refused */
};

/** State of an idempotency key. */
enum class KeyState {
    Free,
    Held, /**< a claim is in force; its request may run or have run */
    Finished,
};

/** State of an idempotency key according to the log, with the claim that determines it. */
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
    Unknown, /**< never proposed, already ended, or abandoned because records were missed */
    Pending, /**< not read back from the log yet */
    Won,
    Lost,
};

/**
 * Idempotency keys within the retention time of the log, and this host's own claims on them.
 *
 * A claim wins if, at its position in the log, no other claim on its key is in force. A claim is in force from its
 * record until it is released, or until records are more than the retention time younger; times are those of the log
 * records. Lost claims are in force too, so the result of a claim depends only on records within the retention time. A
 * reader that starts later, for which earlier records have expired, may see a free key as held, but never a held key
 * as free. The owner of a lost claim therefore releases it. The result of a claim never changes, and a record with a
 * claim id that was read before has no effect.
 *
 * Records of this host are appended again until they are read back, since the answer to an append can be lost.
 */
class ClaimTable
{
public:
    /** Shortest time between two appends; claims that arrive in between share the next one. */
    static constexpr state::Duration BatchInterval = std::chrono::milliseconds(20);
    /** Limit on records in one append. */
    static constexpr std::size_t MaxBatchRecords = 256;
    /** A record that was not read back is appended again after this time. */
    static constexpr state::Duration ResendInterval = std::chrono::milliseconds(500);
    /** Limit on own claims that have not ended. */
    static constexpr std::size_t MaxOwnClaims = 8192;
    /** Limit on releases and results not read back yet; further ones are dropped, and their keys stay held. */
    static constexpr std::size_t MaxUnconfirmedRecords = 8192;
    /** Longest delay between appends while they fail. */
    static constexpr state::Duration MaxBackoff = std::chrono::seconds(1);

    static ClaimTable create(const ClaimTableOptions &options);

    // Entries hold iterators into m_owners, which in a copy would refer to the original's map.
    ClaimTable(const ClaimTable &) = delete;
    ClaimTable &operator=(const ClaimTable &) = delete;
    ClaimTable(ClaimTable &&) = default;
    ClaimTable &operator=(ClaimTable &&) = default;
    ~ClaimTable() = default;

    /**
     * Starts the handling of a read; @p first is the oldest offset that the log keeps. If records were missed, pending
     * own claims are abandoned, because a claim that expired unread may hold their keys. A claim that is proposed
     * later is safe: its record will be more than the retention time younger than all missed records.
     */
    void readFrom(state::Offset first);

    /** Applies the next record of the stream; records before readPosition() and of other streams are ignored. */
    void apply(const state::StoredRecord &stored);

    /** Ends the handling of a read; @p next is the offset after it and @p atEnd is true if no newer record existed. */
    void readTo(state::Offset next, bool atEnd);

    /** Returns the offset from which the stream is to be read next. */
    state::Offset readPosition() const;

    /** Returns whether the stream has been read to its end since the start. Until then view() may miss claims. */
    bool isCaughtUp() const;

    /**
     * Returns the state of a key and its oldest claim in force, as of the last record read. A request whose key is not
     * Free can be answered without a claim of its own.
     */
    KeyView view(const state::CustomerId &customer, std::string_view key) const;

    /**
     * Queues a claim of this host. Returns false if the table is full, the stream has not been read to its end or the
     * id is in use; the request must then be rejected. The caller may dispatch only while result() is Won, and must end
     * the claim with abandon or finish.
     */
    bool propose(const state::ClaimId &claim, const state::CustomerId &customer, std::string_view key);

    /** Returns the result of an own claim that has not ended. */
    ClaimResult result(const state::ClaimId &claim) const;

    /** Ends an own claim whose request is never dispatched. The claim is released after it has been read back. */
    void abandon(const state::ClaimId &claim);

    /** Ends an own claim whose request was dispatched; @p status is the HTTP status sent to the caller. */
    void finish(const state::ClaimId &claim, int status);

    /** Returns own claims that no request uses any more and whose release has not been read back. */
    std::vector<state::ClaimId> claimsAwaitingRelease() const;

    /** Returns the records for the next append; empty if none is due. */
    std::vector<state::LogRecord> takeBatch(state::Time now);

    /** Delays the next append after one failed or was not answered. */
    void appendFailed(state::Time now);

    /** Returns the number of claims in force. */
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
    /** Number of claims in force by owner. */
    using Owners = std::map<std::pair<state::HostId, state::Incarnation>, std::size_t>;
    struct Entry
    {
        state::ClaimId claim;
        Owners::iterator owner;
        std::int16_t status = 0;
        KeyState state = KeyState::Held;
    };
    /** Claims in force on each key, in log order. */
    using KeyMap = std::unordered_map<KeyHash, std::vector<Entry>, KeyHasher>;
    struct Expiry
    {
        state::Time time{}; /**< log time of the claim */
        KeyHash key;
        std::uint64_t claim = 0; /**< hash of the claim id */
    };
    struct OwnClaim
    {
        state::ClaimMade record;
        ClaimResult result = ClaimResult::Pending;
    };
    /** Claims whose records are to be appended: first those not sent yet, then those due to be sent again. */
    struct Outbox
    {
        std::deque<state::ClaimId> unsent;
        std::deque<std::pair<state::Time, state::ClaimId>> resends; /**< in order of time */

        std::optional<state::ClaimId> next(state::Time now);
        void sent(const state::ClaimId &claim, state::Time now);
    };

    explicit ClaimTable(const ClaimTableOptions &options);

    static KeyHash hashOf(std::string_view customer, std::string_view key);
    void applyClaim(const state::ClaimMade &claim);
    void applyReleased(const state::ClaimReleased &released);
    void applyFinished(const state::ClaimFinished &finished);
    void resolveOwnClaim(const state::ClaimMade &claim, bool won);
    bool isOwnClaim(const state::ClaimMade &claim) const;
    Entry *find(const KeyHash &key, const state::ClaimId &claim);
    void release(const state::ClaimMade &claim);
    void confirm(const state::ClaimId &claim);
    void addUnconfirmed(const state::ClaimId &claim, state::LogRecord record);
    void expire(state::Time time);
    void remove(const KeyHash &key, std::uint64_t claim);
    void takeClaims(state::Time now, std::vector<state::LogRecord> &batch);
    void takeUnconfirmed(state::Time now, std::vector<state::LogRecord> &batch);

    ClaimTableOptions m_options;
    Owners m_owners;
    KeyMap m_keys;
    std::size_t m_size = 0;
    std::deque<Expiry> m_expiry; /**< in order of time */
    std::unordered_map<std::uint64_t, state::Time> m_released; /**< hash of each released claim id, log time */
    std::deque<std::pair<state::Time, std::uint64_t>> m_releasedExpiry;
    std::map<state::ClaimId, OwnClaim> m_own;
    std::map<state::ClaimId, state::LogRecord> m_unconfirmed; /**< releases and results not read back */
    Outbox m_claimOutbox;
    Outbox m_completionOutbox;
    state::Offset m_position = 0;
    state::Time m_logTime{};
    bool m_caughtUp = false;
    state::Time m_nextBatch{};
    state::Duration m_backoff{};
};

} // namespace sapphirecove::coordination
