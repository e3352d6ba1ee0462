#include "tests/coordination/entry/requests.h"

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests::entry;
using std::chrono::minutes;
using std::chrono::seconds;

// Guards against a host that was taken out of service and lowers what the others may use, as if it were cut off.
TEST_CASE("a peer that stops reporting counts as cut off unless it said that it stops", "[entry][peertable]")
{
    PeerTable peers;
    TargetTable targets;
    const auto report = [&](const std::string &host, bool stopping) {
        PeerReport content;
        content.host = host;
        content.incarnation = 1;
        content.sequence = stopping ? 2 : 1;
        content.stopping = stopping;
        peers.receive(content, targets, Start);
    };
    report("cut-off", false);
    report("stopped", false);
    report("stopped", true);
    CHECK(peers.fleetCount() == 2);
    peers.expire(targets, Start + PeerTable::LiveFor + seconds(1));
    peers.expire(targets, Start + PeerTable::ForgetAfter + seconds(1));
    CHECK(peers.liveCount() == 0);
    CHECK(peers.knownCount() == 0);
    CHECK(peers.fleetCount() == 1);
    peers.expire(targets, Start + PeerTable::CutOffFor + minutes(1));
    CHECK(peers.fleetCount() == 0);
}
