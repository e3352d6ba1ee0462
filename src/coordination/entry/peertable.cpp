#include "coordination/entry/peertable.h"

#include <algorithm>
#include <utility>

namespace sapphirecove::coordination::entry {

PeerTable::PeerTable(std::uint32_t self)
    : m_self(self)
{
}

void PeerTable::addPeer(const std::string &host, const std::string &address, std::uint16_t port, state::Time now)
{
    Peer &peer = m_peers[host];
    peer.address = address;
    peer.port = port;
    if (peer.addedAt == state::Time()) {
        peer.addedAt = now;
    }
}

bool PeerTable::receive(PeerReport report, TargetTable &targets, state::Time now)
{
    // Sequence numbers begin anew with each process, so that they cannot tell a late report of an earlier one.
    if (m_processes.heard(report.host, report.incarnation, now) == ProcessRegistry::Sender::Ended) {
        return false;
    }
    addPeer(report.host, report.address, report.port, now);
    Peer &peer = m_peers[report.host];
    const bool older = report.incarnation == peer.report.incarnation && report.sequence <= peer.report.sequence;
    if (older && peer.lastReportAt != state::Time()) {
        return false;
    }
    if (peer.live) {
        count(peer, -1, targets);
    }
    m_lastReports[report.host] = { now, report.stopping };
    peer.report = std::move(report);
    peer.lastReportAt = now;
    peer.live = true;
    count(peer, 1, targets);
    return true;
}

std::vector<std::string> PeerTable::expire(TargetTable &targets, state::Time now)
{
    m_processes.expire(now);
    std::vector<std::string> expired;
    for (auto &[host, peer] : m_peers) {
        if (peer.live && now - peer.lastReportAt > LiveFor) {
            count(peer, -1, targets);
            peer.live = false;
            expired.push_back(host);
        }
    }
    std::erase_if(m_peers, [now](const auto &entry) {
        const Peer &peer = entry.second;
        return !peer.live && now - std::max(peer.lastReportAt, peer.addedAt) > ForgetAfter;
    });
    std::erase_if(m_lastReports, [now](const auto &entry) {
        const LastReport &last = entry.second;
        return now - last.at > (last.stopping ? ForgetAfter : CutOffFor);
    });
    return expired;
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

const Peer *PeerTable::findWithConfiguration(std::uint64_t version) const
{
    const auto found = std::find_if(m_peers.begin(), m_peers.end(), [version](const auto &entry) {
        return entry.second.live && entry.second.report.configuration >= version;
    });
    return found == m_peers.end() ? nullptr : &found->second;
}

std::size_t PeerTable::liveCount() const
{
    std::size_t live = 0;
    for (const auto &[host, peer] : m_peers) {
        live += peer.live ? 1 : 0;
    }
    return live;
}

void PeerTable::count(const Peer &peer, int sign, TargetTable &targets) const
{
    for (const auto &share : peer.report.targets) {
        if (share.decider == m_self) {
            continue;
        }
        if (TargetLoad *target = targets.findByHash(share.target)) {
            target->addRemote(sign * share.running, sign * static_cast<double>(share.promptTokens));
        }
    }
}

} // namespace sapphirecove::coordination::entry
