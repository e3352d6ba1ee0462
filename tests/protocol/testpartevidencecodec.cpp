#include "protocol/partevidencecodec.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace sapphirecove;
using coordination::entry::PartEvidence;

namespace {

std::optional<std::vector<PartEvidence>> decode(std::string_view record)
{
    return state::handleFailure(
        [&]() -> state::Result<std::optional<std::vector<PartEvidence>>> {
            BOOST_LEAF_AUTO(evidence, protocol::decodePartEvidence(record));
            return std::optional(std::move(evidence));
        },
        [](const state::Failure &) {
            return std::optional<std::vector<PartEvidence>>();
        });
}

} // namespace

TEST_CASE("evidence about parts round-trips, and a damaged record is rejected", "[entry][crash]")
{
    using coordination::entry::makePartSet;
    const std::vector<PartEvidence> evidence{
        { makePartSet({ 0x0123456789abcdefULL }), 5, 7, 8, 2, 1200, 300, { makePartSet({ 3, 4 }) } },
        { makePartSet({ 11 }), 5, 8, 8, 1, 40, 20, {} }
    };
    const std::string record = protocol::encodePartEvidence(evidence);
    CHECK(decode(record) == evidence);
    CHECK(decode(protocol::encodePartEvidence({})) == std::vector<PartEvidence>());
    for (std::size_t size = 0; size < record.size(); ++size) {
        CHECK_FALSE(decode(std::string_view(record).substr(0, size)));
    }
    CHECK_FALSE(decode(record + 'x'));
    CHECK_FALSE(decode("{}"));
}
