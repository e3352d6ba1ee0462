#include "protocol/settingsreader.h"

#include "protocol/documenttext.h"
#include "protocol/objectreader.h"

#include <algorithm>
#include <array>

namespace sapphirecove::protocol {

namespace {

constexpr IntegerBounds RetentionSecondsBounds{ 10, 31'622'400 };
constexpr IntegerBounds PollMillisecondsBounds{ 10, 60'000 };
constexpr IntegerBounds ConnectionBounds{ 1, 100'000 };
constexpr IntegerBounds HeaderBytesBounds{ 1024, 1'048'576 };
constexpr IntegerBounds BodyBytesBounds{ 1024, std::int64_t{ 1024 } * 1024 * 1024 };
constexpr IntegerBounds SenderTimeoutMillisecondsBounds{ 100, 600'000 };
constexpr IntegerBounds BufferBytesBounds{ 4096, 67'108'864 };
constexpr IntegerBounds DrainSecondsBounds{ 1, 86'400 };
constexpr IntegerBounds SeedBounds{ 0, std::numeric_limits<std::int64_t>::max() };
constexpr std::array<std::string_view, 6> LogLevels{ "trace", "debug", "info", "warn", "error", "fatal" };
constexpr std::size_t MinKeyLength = 16;
constexpr std::size_t MaxKeyLength = 4096;
constexpr std::string_view WhiteSpace = " \t\r\n";

void readHost(ObjectReader reader, HostSettings &host)
{
    reader.readName("id", host.id, Presence::Required);
    reader.readName("region", host.region, Presence::Required);
    reader.readName("failure_domain", host.failureDomain, Presence::Required);
    reader.finish();
}

void readListen(ObjectReader reader, ListenSettings &listen)
{
    reader.readEndpoint("callers", listen.callers, Presence::Required);
    reader.readEndpoint("operators", listen.operators, Presence::Required);
    reader.readEndpoint("peers", listen.peers, Presence::Required);
    reader.finish();
}

void readPath(ObjectReader &reader,
              std::string_view name,
              const std::filesystem::path &folder,
              std::filesystem::path &result)
{
    std::string text;
    reader.readText(name, text, Presence::Required);
    result = folder / text;
}

void readKeys(ObjectReader reader, const std::filesystem::path &folder, KeySettings &keys)
{
    readPath(reader, "operators_file", folder, keys.operatorsFile);
    readPath(reader, "fleet_file", folder, keys.fleetFile);
    reader.finish();
}

void readSeconds(ObjectReader &reader, std::string_view name, state::Duration &result, IntegerBounds bounds)
{
    std::int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(result).count();
    reader.readInteger(name, seconds, bounds, Presence::Optional);
    result = std::chrono::seconds(seconds);
}

void readPlatform(ObjectReader reader, PlatformSettings &platform)
{
    reader.readEndpoint("log", platform.log, Presence::Required);
    reader.readEndpoint("host_list", platform.hostList, Presence::Required);
    readSeconds(reader, "log_retention_s", platform.logRetention, RetentionSecondsBounds);
    reader.readMilliseconds("host_list_poll_ms", platform.hostListPoll, PollMillisecondsBounds, Presence::Optional);
    reader.readMilliseconds("load_poll_ms", platform.loadPoll, PollMillisecondsBounds, Presence::Optional);
    reader.finish();
}

void readLimits(ObjectReader reader, ListenerLimits &limits)
{
    reader.readInteger("max_connections", limits.maxConnections, ConnectionBounds, Presence::Optional);
    reader.readInteger("max_header_bytes", limits.maxHeaderBytes, HeaderBytesBounds, Presence::Optional);
    reader.readInteger("max_body_bytes", limits.maxBodyBytes, BodyBytesBounds, Presence::Optional);
    reader.readMilliseconds(
        "slow_sender_timeout_ms", limits.slowSenderTimeout, SenderTimeoutMillisecondsBounds, Presence::Optional);
    reader.readInteger("stream_buffer_bytes", limits.streamBufferBytes, BufferBytesBounds, Presence::Optional);
    reader.readInteger("max_requests", limits.maxRequests, ConnectionBounds, Presence::Optional);
    reader.finish();
}

void readLog(ObjectReader reader, const std::filesystem::path &folder, LogSettings &log)
{
    reader.readName("level", log.level, Presence::Optional);
    if (std::find(LogLevels.begin(), LogLevels.end(), log.level) == LogLevels.end()) {
        reader.reject("level", "one of trace, debug, info, warn, error, fatal");
    }
    const json::value *file = reader.member("file", Presence::Optional);
    if (file != nullptr && !file->is_string()) {
        reader.reject("file", "a string");
    } else if (file != nullptr && !file->get_string().empty()) {
        log.file = folder / viewOf(file->get_string());
    }
    reader.finish();
}

void readSeed(ObjectReader &reader, std::uint64_t &seed)
{
    auto number = static_cast<std::int64_t>(seed);
    reader.readInteger("seed", number, SeedBounds, Presence::Optional);
    seed = static_cast<std::uint64_t>(number);
}

} // namespace

Settings readSettings(const std::filesystem::path &path, DocumentReport &report)
{
    Settings settings;
    const auto text = readDocumentFile(path, report);
    const auto document = text ? parseDocument(*text, path.string(), report) : std::nullopt;
    if (!document) {
        return settings;
    }
    const std::filesystem::path folder = path.parent_path();
    ObjectReader reader(*document, "", report);
    readHost(reader.object("host", Presence::Required), settings.host);
    readListen(reader.object("listen", Presence::Required), settings.listen);
    readKeys(reader.object("keys", Presence::Required), folder, settings.keys);
    readPlatform(reader.object("platform", Presence::Required), settings.platform);
    readLimits(reader.object("limits", Presence::Optional), settings.limits);
    reader.readName("placement", settings.placement, Presence::Optional);
    readSeed(reader, settings.seed);
    readSeconds(reader, "drain_timeout_s", settings.drainTimeout, DrainSecondsBounds);
    readLog(reader.object("log", Presence::Optional), folder, settings.log);
    reader.finish();
    return settings;
}

state::Result<Settings> loadSettings(const std::filesystem::path &path)
{
    DocumentReport report(path.string());
    Settings settings = readSettings(path, report);
    if (!report.problems().empty()) {
        return report.failure(SettingsStep);
    }
    return settings;
}

state::Result<std::string> loadKey(const std::filesystem::path &path)
{
    DocumentReport report(path.string());
    const auto text = readDocumentFile(path, report);
    if (!text) {
        return report.failure("key.read");
    }
    const std::size_t first = std::min(text->find_first_not_of(WhiteSpace), text->size());
    const std::size_t last = text->find_last_not_of(WhiteSpace);
    std::string key = first == text->size() ? std::string() : text->substr(first, last - first + 1);
    const bool visible = std::all_of(key.begin(), key.end(), [](char c) {
        return c > ' ' && c <= '~';
    });
    if (key.size() < MinKeyLength || key.size() > MaxKeyLength || !visible) {
        return state::fail("key.read", path.string(), "expected one key of 16 to 4096 visible ASCII characters");
    }
    return key;
}

} // namespace sapphirecove::protocol
