#include "protocol/requesthash.h"

#include <catch2/catch.hpp>

#include <set>
#include <stdexcept>
#include <string>

using namespace sapphirecove;

namespace {

std::uint64_t hashOf(std::string_view method, std::string_view target, std::string_view customer, std::string_view body)
{
    return state::handleFailure(
        [&] {
            return protocol::requestHash(method, target, customer, body);
        },
        [](const state::Failure &failure) -> std::uint64_t {
            throw std::runtime_error(describe(failure));
        });
}

} // namespace

// Guards against LOST: a request is taken for another one that crashes targets.
TEST_CASE("requests have the same hash only if all that identifies them is the same", "[entry][crash]")
{
    const std::set<std::uint64_t> hashes{
        hashOf("POST", "/a?b=1", "t1", "body"), hashOf("PUT", "/a?b=1", "t1", "body"),
        hashOf("POST", "/a?b=2", "t1", "body"), hashOf("POST", "/a?b=1", "t2", "body"),
        hashOf("POST", "/a?b=1", "t1", "bodz"), hashOf("POST", "/a?b=1", "t1", ""),
        hashOf("POST", "/a?b=1t", "1", "body"), hashOf("POST", "/a?b=1", "t1b", "ody"),
        hashOf("POST", "/a?b=1", "", "t1body"),
    };
    CHECK(hashes.size() == 9);
    CHECK(hashes.contains(hashOf("POST", "/a?b=1", "t1", "body")));
}

// Hosts of another kind of machine and of another software version compute the same number.
TEST_CASE("the hash of a request is fixed", "[entry][crash]")
{
    CHECK(hashOf("GET", "/x", "t1", "") == 0xcde8c442579f0e2eULL);
}
