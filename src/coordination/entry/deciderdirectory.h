#pragma once

#include "coordination/entry/decidermessages.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::coordination::entry {

/** Maximum ages of a list of targets, at hosts that the metadata store serves. */
struct TargetsAgeLimits
{
    state::Duration qualified = state::Duration::max(); /**< to decide before all others */
    state::Duration placement = state::Duration::max(); /**< to send a request that was placed from it */
};

/** Host of the fleet, as it announces itself. */
struct KnownHost
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::string region;
    double capacity = 1; /**< processor cores, reduced where the network link is slow */
};

/**
 * Determines which host decides for the fleet, as seen by this host.
 *
 * All hosts rank the hosts that they know in the same way, by weighted rendezvous hashing (D. Thaler and C.
 * Ravishankar, 1998), so that no election is needed and larger hosts are the decider more often. The first few live
 * hosts of each region are candidates and get the reports of all hosts. The first candidate that answers and receives
 * reports from most of the fleet is the decider. A host whose list of targets is too old decides only for hosts that
 * the metadata store refuses as well. Hosts may disagree for a while; targets then get a few more requests than they
 * have slots.
 */
class DeciderDirectory
{
public:
    DeciderDirectory(std::string self, std::string region);

    /** Adds or updates a host. */
    void learn(KnownHost host);

    /** Processes the reply to a report that was sent at @p reportSentAt. */
    void reportAnswered(const ReportReply &reply, state::Time reportSentAt);

    /** Records that a report was sent to @p host, which has to reply. */
    void reportSent(std::string_view host, state::Time now);

    /** Skips @p host until it answers a report that is sent after @p now. */
    void suspect(std::string_view host, state::Time now);

    /**
     * Sets whether this host may decide, whether it is qualified (it gets reports of most hosts that it knows, and its
     * list of targets is current), and the age of that list.
     */
    void setSelf(bool canDecide, bool qualified, state::Duration targetsAge = {});

    /**
     * Sets the ages from which on the next hosts become candidates and from which on a list of targets is too old to
     * decide from, and whether this host accepts such a list where there is no other, as the metadata store refuses it,
     * too.
     */
    void setTargetsAgeLimits(TargetsAgeLimits limits, bool acceptsOlder);

    /** Returns the hosts that get reports: the candidates, and those that rank above them but are replaced for a time.
     */
    std::vector<const KnownHost *> reportRecipients(state::Time now) const;

    /** Returns the name of the host that decides; this host's own, or nothing if no host answers. */
    std::optional<std::string_view> decider(state::Time now) const;

    /** Returns whether this host is a candidate. */
    bool isCandidate(state::Time now) const;

    /** Returns the latest reply of the candidate @p host to a report; nullptr if there is none. */
    const ReportReply *latestReplyOf(std::string_view host) const;

    /**
     * Returns a live candidate that knows at least configuration @p version, preferably one of this host's region;
     * nullptr if there is none.
     */
    const KnownHost *configurationSource(std::uint64_t version, state::Time now) const;

    /** Returns how many hosts currently answer reports. */
    std::size_t respondingHosts(state::Time now) const;

    const KnownHost *find(std::string_view host) const;

    /** Returns how many hosts are known, including this one and those that are gone. */
    std::size_t size() const
    {
        return m_hosts.size();
    }

private:
    struct Item
    {
        KnownHost host;
        double score = 0;
        std::optional<ReportReply> reply;
        state::Time reportSentAt{}; /**< when the latest answered report was sent */
        std::optional<state::Time> unansweredSince; /**< time of the first report without an answer */
        state::Time suspectedAt{};
    };

    bool live(const Item &item, state::Time now) const;
    state::Duration targetsAge(const Item &item, state::Time now) const;
    bool dead(const Item &item, state::Time now) const;
    bool replaced(const Item &item, state::Time now) const;

    std::string m_self;
    std::string m_region;
    bool m_selfCanDecide = false;
    bool m_selfQualified = false;
    state::Duration m_selfTargetsAge{};
    TargetsAgeLimits m_targetsAgeLimits;
    bool m_acceptsOlderTargets = false;
    std::map<std::string, Item, std::less<>> m_hosts;
    std::vector<Item *> m_ranking; /**< highest score first; points to nodes of m_hosts, whose addresses are stable */
};

} // namespace sapphirecove::coordination::entry
