#include "coordination/entry/peertable.h"

#include <algorithm>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/** Shortest interval between two reports to a peer: a small part of the time that a request holds a slot. */
constexpr state::Duration MinReportInterval = std::chrono::milliseconds(50);

/** Reports a second that a host sends in all; intervals grow with the number of peers beyond it. */
constexpr double MaxReportsPerSecond = 200;

} // namespace

void PeerTable::introduce(const std::string &host, const std::string &address, std::uint16_t port, state::Time now)
{
    Peer &peer = m_peers[host];
    peer.address = address;
    peer.port = port;
    if (peer.introduced == state::Time()) {
        peer.introduced = now;
    }
}

bool PeerTable::receive(PeerReport report, TargetTable &targets, state::Time now)
{
    introduce(report.host, report.address, report.port, now);
    Peer &peer = m_peers[report.host];
    // Incarnations have no order: they are random, because the time of day may jump between two starts.
    const bool older = report.incarnation == peer.report.incarnation && report.sequence <= peer.report.sequence;
    if (older && peer.heard != state::Time()) {
        return false;
    }
    if (peer.live) {
        count(peer, -1, targets);
    }
    peer.report = std::move(report);
    peer.heard = now;
    peer.live = true;
    count(peer, 1, targets);
    return true;
}

std::vector<std::string> PeerTable::expire(TargetTable &targets, state::Time now)
{
    std::vector<std::string> silent;
    for (auto &[host, peer] : m_peers) {
        if (peer.live && now - peer.heard > LiveFor) {
            count(peer, -1, targets);
            peer.live = false;
            silent.push_back(host);
        }
    }
    std::erase_if(m_peers, [now](const auto &entry) {
        const Peer &peer = entry.second;
        return !peer.live && now - std::max(peer.heard, peer.introduced) > ForgetAfter;
    });
    return silent;
}

void PeerTable::recount(TargetTable &targets)
{
    for (TargetLoad *target : targets.all()) {
        target->clearRemote();
    }
    for (const auto &[host, peer] : m_peers) {
        if (peer.live) {
            count(peer, 1, targets);
        }
    }
}

std::uint32_t PeerTable::waitingAbove(std::uint32_t service, double rank) const
{
    std::uint32_t sum = 0;
    for (const auto &[host, peer] : m_peers) {
        if (!peer.live) {
            continue;
        }
        for (const auto &share : peer.report.waiting) {
            sum += share.service == service && share.rank > rank ? share.count : 0;
        }
    }
    return sum;
}

std::uint32_t PeerTable::waiting(std::uint32_t service) const
{
    return waitingAbove(service, -1);
}

state::Duration PeerTable::reportInterval() const
{
    return std::max(MinReportInterval,
                    state::durationFromSeconds(static_cast<double>(m_peers.size()) / MaxReportsPerSecond));
}

std::size_t PeerTable::liveCount() const
{
    std::size_t live = 0;
    for (const auto &[host, peer] : m_peers) {
        live += peer.live ? 1 : 0;
    }
    return live;
}

bool PeerTable::isFirst(std::string_view host) const
{
    return std::none_of(m_peers.begin(), m_peers.end(), [host](const auto &entry) {
        return entry.second.live && entry.first < host;
    });
}

void PeerTable::count(const Peer &peer, int sign, TargetTable &targets)
{
    for (const auto &share : peer.report.targets) {
        if (TargetLoad *target = targets.findByHash(share.target)) {
            target->addRemote(sign * share.running, sign * static_cast<double>(share.promptTokens));
        }
    }
}

} // namespace sapphirecove::coordination::entry
