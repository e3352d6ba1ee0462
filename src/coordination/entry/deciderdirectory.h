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

/** Host of the fleet, as it announces itself. */
struct KnownHost
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::string region;
    double capacity = 1; /**< processor cores, less where the link is narrow */
};

/**
 * Tells which host decides for the fleet, as this host sees it.
 *
 * All hosts rank the hosts that they know alike, by weighted rendezvous hashing (D. Thaler and C. Ravishankar, 1998),
 * so that the role needs no election and larger hosts hold it more often. The first few live hosts of each region are
 * candidates: they get the reports of all hosts, and the first of them that answers and hears most of the fleet
 * decides. Hosts may disagree for a while; targets then get some requests too many.
 */
class DeciderDirectory
{
public:
    DeciderDirectory(std::string self, std::string region);

    /** Adds or updates a host. */
    void learn(KnownHost host);

    /** Takes the answer to a report that was sent at @p asked. */
    void answered(const ReportReply &beacon, state::Time asked);

    /** A report was sent to @p host, which has to answer. */
    void reported(std::string_view host, state::Time now);

    /** Passes over @p host until it answers a report that is sent after @p now. */
    void suspect(std::string_view host, state::Time now);

    /** Sets whether this host itself may decide, and whether it hears most of the fleet. */
    void setSelf(bool canDecide, bool qualified);

    /** Returns the hosts that get reports: the candidates, and silent hosts of a higher rank. */
    std::vector<const KnownHost *> reportRecipients(state::Time now) const;

    /** Returns the name of the host that decides; this host's own, or nothing if no host answers. */
    std::optional<std::string_view> decider(state::Time now) const;

    /** Returns whether this host is a candidate. */
    bool isCandidate(state::Time now) const;

    /** Returns the latest beacon of the candidate @p host; nullptr if there is none. */
    const ReportReply *beaconOf(std::string_view host) const;

    /** Returns the live candidate that knows the newest configuration, one of the own region first; nullptr if none. */
    const KnownHost *configurationSource(std::uint64_t version, state::Time now) const;

    /** Returns how many hosts answer reports at the moment. */
    std::size_t liveCandidates(state::Time now) const;

    const KnownHost *find(std::string_view host) const;

    /** Returns how many hosts are known, this one included, gone ones too. */
    std::size_t size() const
    {
        return m_hosts.size();
    }

private:
    struct Item
    {
        KnownHost host;
        double score = 0;
        std::optional<ReportReply> beacon;
        state::Time asked{}; /**< when the latest answered report was sent */
        std::optional<state::Time> unansweredSince; /**< first report without an answer */
        state::Time suspectedAt{};
    };

    bool live(const Item &item, state::Time now) const;
    bool dead(const Item &item, state::Time now) const;

    std::string m_self;
    std::string m_region;
    bool m_selfDecides = false;
    bool m_selfAccepted = false;
    std::map<std::string, Item, std::less<>> m_hosts;
    std::vector<Item *> m_order; /**< highest score first; nodes of m_hosts keep their address */
};

} // namespace sapphirecove::coordination::entry
