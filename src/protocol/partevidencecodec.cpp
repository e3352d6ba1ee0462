#include "protocol/partevidencecodec.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace sapphirecove::protocol {

using coordination::entry::PartEvidence;
using coordination::entry::PartSetPtr;

namespace {

/** First four bytes of a record; the last of them is the version of the format. */
constexpr std::uint32_t Magic = 0x53435002;

/** Most elements of a list and most parts of a set. Messages and records stay far below, see CrashSuspects. */
constexpr std::size_t MaxCount = std::numeric_limits<std::uint16_t>::max();

/** Visits the numbers of a PartEvidence in wire order, for both BinaryWriter and BinaryReader. */
template <typename Codec, typename Evidence>
void visitNumbers(Codec &codec, Evidence &evidence)
{
    codec.number(evidence.build);
    codec.number(evidence.target);
    codec.number(evidence.observer);
    codec.number(evidence.requests);
    codec.number(evidence.ageMs);
    codec.number(evidence.heldMs);
}

/** Sets of parts in the order in which a message names them. */
class SetTable
{
public:
    /** Returns the position of @p set, which is added if it is new. */
    std::uint16_t positionOf(const PartSetPtr &set)
    {
        const auto [first, last] = m_positions.equal_range(set->hash);
        for (auto known = first; known != last; ++known) {
            if (*m_sets[known->second] == *set) {
                return known->second;
            }
        }
        const auto position = static_cast<std::uint16_t>(m_sets.size());
        m_positions.emplace(set->hash, position);
        m_sets.push_back(set);
        return position;
    }

    std::size_t size() const
    {
        return m_sets.size();
    }

    void write(BinaryWriter &writer) const
    {
        writer.number(static_cast<std::uint16_t>(m_sets.size()));
        for (const PartSetPtr &set : m_sets) {
            const std::size_t count = std::min(set->parts.size(), MaxCount);
            writer.number(static_cast<std::uint16_t>(count));
            for (const std::uint64_t part : std::span(set->parts).first(count)) {
                writer.number(part);
            }
        }
    }

private:
    std::vector<PartSetPtr> m_sets;
    std::multimap<std::uint64_t, std::uint16_t> m_positions; /**< by hash */
};

} // namespace

void writeEvidence(BinaryWriter &writer, std::span<const PartEvidence> evidence)
{
    SetTable table;
    std::vector<std::vector<std::uint16_t>> positions; // Of the parts, then of the companions.
    for (const PartEvidence &item : evidence) {
        if (positions.size() == MaxCount || table.size() + item.companions.size() >= MaxCount) {
            break;
        }
        auto &sets = positions.emplace_back();
        sets.push_back(table.positionOf(item.parts));
        for (const PartSetPtr &set : item.companions) {
            sets.push_back(table.positionOf(set));
        }
    }
    table.write(writer);
    writer.number(static_cast<std::uint16_t>(positions.size()));
    for (std::size_t i = 0; i < positions.size(); ++i) {
        writer.number(static_cast<std::uint16_t>(positions[i].size()));
        for (const std::uint16_t position : positions[i]) {
            writer.number(position);
        }
        visitNumbers(writer, evidence[i]);
    }
}

void readEvidence(BinaryReader &reader, std::vector<PartEvidence> &evidence)
{
    std::uint16_t setCount = 0;
    reader.number(setCount);
    std::vector<PartSetPtr> sets;
    for (std::uint16_t i = 0; i < setCount && !reader.failed(); ++i) {
        std::uint16_t count = 0;
        reader.number(count);
        std::vector<std::uint64_t> parts;
        for (std::uint16_t j = 0; j < count && !reader.failed(); ++j) {
            reader.number(parts.emplace_back());
        }
        sets.push_back(coordination::entry::makePartSet(std::move(parts)));
    }
    std::uint16_t count = 0;
    reader.number(count);
    for (std::uint16_t i = 0; i < count && !reader.failed(); ++i) {
        PartEvidence &item = evidence.emplace_back();
        std::uint16_t named = 0;
        reader.number(named);
        for (std::uint16_t j = 0; j < named; ++j) {
            std::uint16_t position = 0;
            reader.number(position);
            if (reader.failed() || position >= sets.size()) {
                reader.fail();
                return;
            }
            if (j == 0) {
                item.parts = sets[position];
            } else {
                item.companions.push_back(sets[position]);
            }
        }
        visitNumbers(reader, item);
    }
}

std::string encodePartEvidence(std::span<const PartEvidence> evidence)
{
    BinaryWriter writer;
    writer.number(Magic);
    writeEvidence(writer, evidence);
    return writer.take();
}

state::Result<std::vector<PartEvidence>> decodePartEvidence(std::string_view record)
{
    BinaryReader reader(record);
    std::uint32_t magic = 0;
    reader.number(magic);
    std::vector<PartEvidence> evidence;
    if (magic == Magic) {
        readEvidence(reader, evidence);
    }
    if (reader.failed() || magic != Magic || !reader.atEnd()) {
        return state::fail("partevidence.decode", "", "malformed, truncated or followed by extra bytes");
    }
    return evidence;
}

} // namespace sapphirecove::protocol
