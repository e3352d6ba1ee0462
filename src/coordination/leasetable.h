#pragma once

#include "state/identifiers.h"
#include "state/logrecord.h"
#include "state/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirecove::coordination {

/** Lease as the log shows it. */
struct Lease
{
    state::HostId holder;
    state::Incarnation incarnation = 0;
    state::Offset fencing = 0; /**< offset of the acquisition, as far as it was read */
    state::Time expires{}; /**< by the log's clock */
};

/** Verdict on one record of the leases stream. */
struct LeaseOutcome
{
    std::string name;
    state::HostId holder;
    bool valid = false;
    bool acquired = false; /**< valid and not a renewal */
    state::Offset fencing = 0;
};

/**
 * Leases in the log, and this host's right to act on those that it holds.
 *
 * A record is valid if the previous lease has expired according to the log's record times, or if it names the same
 * holder and incarnation. A valid record after the expiry is a new acquisition with a new fencing number, even by the
 * same holder. The holder itself counts from the time at which it sent the record, by its own clock, and stops Margin
 * before the end. Since a record is sent before the log stores it, the holder stops before the log lets another host
 * acquire the lease; this needs clocks that run at the same rate within Margin / duration, not clocks that agree.
 *
 * The time given to the functions must not go backwards.
 */
class LeaseTable
{
public:
    static constexpr state::Duration LeaseDuration = std::chrono::seconds(10);
    /** Covers the difference in clock rates and the time between mayAct and the arrival of an order. */
    static constexpr state::Duration Margin = std::chrono::seconds(2);
    /** A lease is renewed after this part of its duration. */
    static constexpr state::Duration RenewAfter = std::chrono::seconds(3);
    /** Shortest time between two appends for one lease. */
    static constexpr state::Duration AppendInterval = std::chrono::seconds(1);

    static LeaseTable create(const state::HostId &host, state::Incarnation incarnation);

    /**
     * Starts the handling of a read; @p first is the oldest offset that the log keeps. If records were missed, no lease
     * is acquired until every lease that they might have granted has expired.
     */
    void readFrom(state::Offset first, state::Time now);

    /** Takes the next record; returns its verdict, or nothing for a record before readPosition() or of another stream.
     */
    std::optional<LeaseOutcome> apply(const state::StoredRecord &stored, state::Time now);

    /** Ends the handling of a read; @p next is the offset after it and @p atEnd is true if no newer record existed. */
    void readTo(state::Offset next, bool atEnd);

    /** Returns the offset from which the stream is to be read next. */
    state::Offset readPosition() const;

    /** Returns the lease according to the records read, unless it has certainly expired; empty if nobody holds it. */
    std::optional<Lease> holder(const std::string &name, state::Time now) const;

    /** Returns whether this host may act on the lease: it holds it and, by its own clock, has Margin left. */
    bool mayAct(const std::string &name, state::Time now) const;

    /** Returns the fencing number if mayAct. */
    std::optional<state::Offset> fencing(const std::string &name, state::Time now) const;

    /** Returns whether this host holds the lease and should append a renewal now. */
    bool needsRenewal(const std::string &name, state::Time now) const;

    /**
     * Returns whether this host should append an acquisition now: it is @p selected for the duty, has read the stream
     * to its end, and the last lease has certainly expired. Selection keeps all other hosts from appending at the same
     * time.
     */
    bool shouldAcquire(const std::string &name, bool selected, state::Time now) const;

    /** Returns the record for an acquisition or renewal sent at @p now. */
    state::LeaseTaken take(const std::string &name, state::Time now);

    /**
     * Returns the record that gives a lease up and stops mayAct at once. This incarnation cannot hold the lease again:
     * a record sent later could reach the log earlier, and the host would not see in time that it has lost the lease.
     */
    state::LeaseTaken release(const std::string &name, state::Time now);

private:
    struct Entry
    {
        Lease lease;
        bool held = false; /**< a valid record was read */
        state::Time lastRead{}; /**< own time at which the last valid record was read */
        state::Duration duration{}; /**< of the last valid record */
        state::Time actUntil{}; /**< own clock; records of this incarnation only */
        std::optional<state::Time> lastSent;
        bool released = false;
    };

    LeaseTable(const state::HostId &host, state::Incarnation incarnation);

    bool isOwn(const Lease &lease) const;
    static bool hasLapsed(const Entry &entry, state::Time now);
    static bool appendedLately(const Entry &entry, state::Time now);

    state::HostId m_host;
    state::Incarnation m_incarnation = 0;
    std::map<std::string, Entry> m_entries;
    state::Offset m_position = 0;
    bool m_caughtUp = false;
    std::optional<state::Time> m_waitUntil; /**< own time; set after missed records */
};

} // namespace sapphirecove::coordination
