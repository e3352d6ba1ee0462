#include "protocol/logcodec.h"

#include "protocol/fieldreader.h"
#include "protocol/recordcodec.h"

namespace sapphirecove::protocol {

namespace {

constexpr std::string_view ReadStep = "log.read";
constexpr std::string_view AppendStep = "log.append";

/** Reads one element of "records" into @p response; only its offset and time are required to be well-formed. */
void readStoredRecord(ReadContext &context, state::Stream stream, const json::value &element, LogReadResponse &response)
{
    if (!element.is_object()) {
        context.reject("an object");
        return;
    }
    FieldReader reader(context, element.get_object());
    state::StoredRecord stored;
    int64_t milliseconds = 0;
    reader("offset", stored.offset);
    context.enter("time_ms");
    const json::value *time = element.get_object().if_contains("time_ms");
    readInteger(context, time == nullptr ? json::value() : *time, milliseconds, { 0, MaxMicroseconds / 1000 });
    context.leave();
    if (context.failed()) {
        return;
    }
    stored.time = state::Time(std::chrono::milliseconds(milliseconds));
    const json::value *value = element.get_object().if_contains("value");
    const std::string unreadable = state::handleFailure(
        [&]() -> state::Result<std::string> {
            BOOST_LEAF_ASSIGN(stored.record, recordFromJson(value == nullptr ? json::value() : *value, ""));
            return streamOf(stored.record) == stream ? std::string() : "record of another stream";
        },
        [](const state::Failure &failure) {
            return failure.detail;
        });
    if (unreadable.empty()) {
        response.records.push_back(std::move(stored));
    } else {
        response.unreadable.push_back({ stored.offset, unreadable });
    }
}

void readRecords(ReadContext &context, state::Stream stream, const json::object &object, LogReadResponse &response)
{
    context.enter("records");
    const json::value *records = object.if_contains("records");
    if (records == nullptr || !records->is_array()) {
        context.reject("an array");
        return;
    }
    std::size_t index = 0;
    for (const json::value &element : records->get_array()) {
        context.enter(index++);
        readStoredRecord(context, stream, element, response);
        context.leave();
        if (context.failed()) {
            return;
        }
    }
    context.leave();
}

/** Checks that offsets ascend and stay below "next"; otherwise a follower would skip or repeat records. */
void checkOffsets(ReadContext &context, const LogReadResponse &response)
{
    state::Offset lowest = 0;
    for (const state::StoredRecord &stored : response.records) {
        if (stored.offset < lowest || stored.offset >= response.next) {
            context.reject("records with ascending offsets below \"next\"");
            return;
        }
        lowest = stored.offset + 1;
    }
}

} // namespace

std::string appendPath(state::Stream stream)
{
    return "/v1/streams/" + std::string(streamName(stream)) + "/records";
}

std::string readPath(state::Stream stream, state::Offset from, std::size_t limit, state::Duration wait)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return appendPath(stream) + "?from=" + std::to_string(from) + "&limit=" + std::to_string(limit)
        + "&wait_ms=" + std::to_string(waitMs);
}

std::string encodeAppendBody(std::span<const state::LogRecord> records)
{
    json::array array;
    array.reserve(records.size());
    for (const state::LogRecord &record : records) {
        array.push_back(recordToJson(record));
    }
    return json::serialize(json::object{ { "records", std::move(array) } });
}

state::Result<LogAppendResponse> decodeAppendResponse(std::string_view body, std::string_view peer)
{
    BOOST_LEAF_AUTO(document, parseJson(body, AppendStep, peer));
    ReadContext context;
    LogAppendResponse response;
    if (!document.is_object()) {
        return state::fail(AppendStep, peer, "expected an object");
    }
    FieldReader reader(context, document.get_object());
    reader("offset", response.offset);
    reader("count", response.count);
    if (context.failed()) {
        return state::fail(AppendStep, peer, context.detail());
    }
    return response;
}

state::Result<LogReadResponse> decodeReadResponse(state::Stream stream, std::string_view body, std::string_view peer)
{
    BOOST_LEAF_AUTO(document, parseJson(body, ReadStep, peer));
    ReadContext context;
    LogReadResponse response;
    if (!document.is_object()) {
        return state::fail(ReadStep, peer, "expected an object");
    }
    FieldReader reader(context, document.get_object());
    reader("first", response.first);
    reader("next", response.next);
    if (!context.failed()) {
        readRecords(context, stream, document.get_object(), response);
    }
    if (!context.failed()) {
        checkOffsets(context, response);
    }
    if (context.failed()) {
        return state::fail(ReadStep, peer, context.detail());
    }
    return response;
}

} // namespace sapphirecove::protocol
