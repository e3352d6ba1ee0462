#pragma once

#include "coordination/message.h"
#include "coordination/requestinfo.h"
#include "state/hostlist.h"
#include "state/logrecord.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sapphirecove::coordination {

/** Timer event; sent every 20 ms. */
struct Tick
{
};

/** A caller's request was read completely and passed the checks of the transport layer. */
struct RequestArrived
{
    RequestInfo request;
};

/**
 * The caller closed its connection before the response was complete. The transport layer starts no dispatch for the
 * request after this event.
 */
struct CallerDisconnected
{
    state::RequestId request;
};

/** A dispatch failed before anything was sent to the target. */
struct DispatchRefused
{
    state::RequestId request;
    state::GrantId grant = 0;
    std::string detail;
    bool targetRefused = true; /**< false if the grant expired or the request was withdrawn first */
};

/** The first byte of a request may have reached its target. */
struct DispatchStarted
{
    state::RequestId request;
    state::GrantId grant = 0;
};

/** The first token, or the first byte of the response's body, arrived. */
struct FirstTokenReceived
{
    state::RequestId request;
};

/** A dispatch ended; sent exactly once after each DispatchStarted. */
struct DispatchFinished
{
    state::RequestId request;
    state::GrantId grant = 0;
    GrantOutcome outcome = GrantOutcome::Complete;
    int status = 0; /**< HTTP status passed to the caller */
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
    state::Duration timeToFirstToken{};
    state::Duration total{};
    std::string detail;
};

/** Messages from a peer arrived. */
struct MessagesReceived
{
    Envelope envelope;
};

/** The platform's host list was read. */
struct HostListRead
{
    state::HostList list;
};

/** Records of a stream were read. */
struct RecordsRead
{
    state::Stream stream = state::Stream::Configuration;
    state::Offset first = 0; /**< oldest offset that the log still holds */
    state::Offset next = 0; /**< offset after the last record read */
    std::vector<state::StoredRecord> records;
    bool atEnd = false; /**< the log had no newer record when it answered */
};

/** The log did not answer a read or an append. */
struct LogUnavailable
{
    state::Stream stream = state::Stream::Configuration;
};

/** A model engine reported its load, measured at @c measuredAt. */
struct LoadReported
{
    state::TargetId target;
    state::Time measuredAt{};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    state::VersionName version;
    bool loadingVersion = false;
};

/** The prefix cache of a model engine changed. */
struct CacheChanged
{
    state::TargetId target;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;
    bool gap = false; /**< events before this one were lost */
};

/** A target answered an order, or the delivery of the order failed. */
struct OrderAnswered
{
    std::uint64_t order = 0;
    state::TargetId target;
    bool delivered = false; /**< false if the response was lost or the target was unreachable */
    bool accepted = false; /**< false if the target refused the fencing number */
    std::string detail;
};

/** The operator asked this host for a graceful shutdown. */
struct DrainRequested
{
};

/** Input of the decision library. */
using Event = std::variant<Tick,
                           RequestArrived,
                           CallerDisconnected,
                           DispatchRefused,
                           DispatchStarted,
                           FirstTokenReceived,
                           DispatchFinished,
                           MessagesReceived,
                           HostListRead,
                           RecordsRead,
                           LogUnavailable,
                           LoadReported,
                           CacheChanged,
                           OrderAnswered,
                           DrainRequested>;

} // namespace sapphirecove::coordination
