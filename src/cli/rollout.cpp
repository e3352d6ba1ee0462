#include "cli/rollout.h"

namespace sapphirecove::cli {

std::vector<state::HostId> hostsBehind(const coordination::StatusReport &report, state::Generation generation)
{
    std::vector<state::HostId> behind;
    if (report.generation < generation) {
        behind.push_back(report.host);
    }
    for (const coordination::PeerStatus &peer : report.peers) {
        if (peer.alive && peer.id != report.host && peer.generation < generation) {
            behind.push_back(peer.id);
        }
    }
    return behind;
}

} // namespace sapphirecove::cli
