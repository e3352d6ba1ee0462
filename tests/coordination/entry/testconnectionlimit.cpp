#include "coordination/entry/connectionlimit.h"

#include <catch2/catch.hpp>

using namespace sapphirecove::coordination::entry;

// Guards against idle connections that many hosts keep after a burst at one target and that leave no room for its
// slots.
TEST_CASE("idle connections of all hosts and the slots fit into the connection limit of a target",
          "[entry][connectionlimit]")
{
    struct Deployment
    {
        std::uint32_t maxConnections;
        std::uint32_t slots;
        std::size_t hosts;
    };
    const auto deployment = GENERATE(Deployment{ 360, 12, 6 },
                                     Deployment{ 96, 6, 6 },
                                     Deployment{ 650, 6, 90 },
                                     Deployment{ 450, 6, 65 },
                                     Deployment{ 24, 4, 3 });
    const std::size_t limit = idleConnectionLimit(deployment.maxConnections, deployment.slots, deployment.hosts);
    CHECK(limit >= 1);
    CHECK(limit <= deployment.slots);
    CHECK(limit * deployment.hosts + deployment.slots <= deployment.maxConnections);
}

TEST_CASE("a host keeps a connection to a target whose limit is unknown or too small for all hosts",
          "[entry][connectionlimit]")
{
    CHECK(idleConnectionLimit(0, 12, 90) == 12);
    CHECK(idleConnectionLimit(10, 12, 90) == 1);
}
