#include "protocol/partevidencecodec.h"

#include "protocol/binarycodec.h"

#include <algorithm>
#include <limits>

namespace sapphirecove::protocol {

using coordination::entry::PartEvidence;

namespace {

/** First four bytes of a record; the last of them is the version of the format. */
constexpr std::uint32_t Magic = 0x53435001;

} // namespace

std::string encodePartEvidence(std::span<const PartEvidence> evidence)
{
    BinaryWriter writer;
    writer.number(Magic);
    const std::size_t count = std::min<std::size_t>(evidence.size(), std::numeric_limits<std::uint16_t>::max());
    writer.number(static_cast<std::uint16_t>(count));
    for (const PartEvidence &item : evidence.first(count)) {
        visitEvidence(writer, item);
    }
    return writer.take();
}

state::Result<std::vector<PartEvidence>> decodePartEvidence(std::string_view record)
{
    BinaryReader reader(record);
    std::uint32_t magic = 0;
    std::uint16_t count = 0;
    reader.number(magic);
    reader.number(count);
    std::vector<PartEvidence> evidence;
    for (std::uint16_t i = 0; i < count && !reader.failed(); ++i) {
        visitEvidence(reader, evidence.emplace_back());
    }
    if (reader.failed() || magic != Magic || !reader.atEnd()) {
        return state::fail("partevidence.decode", "", "malformed, truncated or followed by extra bytes");
    }
    return evidence;
}

} // namespace sapphirecove::protocol
