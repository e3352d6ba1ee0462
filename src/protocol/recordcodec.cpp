#include "protocol/recordcodec.h"

#include "protocol/recordfields.h"

namespace sapphirecove::protocol {

namespace {

constexpr std::string_view Step = "log.decode";

constexpr std::array StreamNames{
    EnumName{ state::Stream::Configuration, "config" },
    EnumName{ state::Stream::Claims, "claims" },
    EnumName{ state::Stream::Leases, "leases" },
    EnumName{ state::Stream::Versions, "versions" },
};

/** Names the stream of each record type. */
struct StreamOf
{
    state::Stream operator()(const state::ConfigurationPublished &) const
    {
        return state::Stream::Configuration;
    }
    state::Stream operator()(const state::ConfigurationCheckpoint &) const
    {
        return state::Stream::Configuration;
    }
    state::Stream operator()(const state::ClaimMade &) const
    {
        return state::Stream::Claims;
    }
    state::Stream operator()(const state::ClaimReleased &) const
    {
        return state::Stream::Claims;
    }
    state::Stream operator()(const state::ClaimFinished &) const
    {
        return state::Stream::Claims;
    }
    state::Stream operator()(const state::LeaseTaken &) const
    {
        return state::Stream::Leases;
    }
    state::Stream operator()(const state::VersionStep &) const
    {
        return state::Stream::Versions;
    }
};

} // namespace

std::string_view streamName(state::Stream stream)
{
    return StreamNames.at(static_cast<std::size_t>(stream)).name;
}

std::optional<state::Stream> streamFromName(std::string_view name)
{
    for (const auto &entry : StreamNames) {
        if (entry.name == name) {
            return entry.value;
        }
    }
    return std::nullopt;
}

state::Stream streamOf(const state::LogRecord &record)
{
    return std::visit(StreamOf{}, record);
}

json::object recordToJson(const state::LogRecord &record)
{
    return writeTagged(record);
}

state::Result<state::LogRecord> recordFromJson(const json::value &value, std::string_view peer)
{
    ReadContext context;
    state::LogRecord record;
    readTagged(context, value, record);
    if (context.failed()) {
        return state::fail(Step, peer, context.detail());
    }
    return record;
}

std::string encodeRecord(const state::LogRecord &record)
{
    return json::serialize(recordToJson(record));
}

state::Result<state::LogRecord> decodeRecord(std::string_view text, std::string_view peer)
{
    BOOST_LEAF_AUTO(value, parseJson(text, Step, peer));
    return recordFromJson(value, peer);
}

} // namespace sapphirecove::protocol
