#pragma once

#include "coordination/message.h"
#include "coordination/refusal.h"
#include "state/configuration.h"
#include "state/logrecord.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sapphirecove::coordination {

/**
 * Sends a request to a target. The transport layer reports either DispatchRefused (nothing was sent: the
 * connection failed, the grant expired before the dispatch could start, or the dispatch was withdrawn) or
 * DispatchStarted followed by DispatchFinished. It reports neither if it has already reported CallerDisconnected.
 */
struct Dispatch
{
    state::RequestId request;
    state::GrantId grant = 0;
    state::TargetId target;
    std::string address;
    std::uint16_t port = 0;
    state::VersionName version;
    state::Time expires{};
};

/**
 * Rejects a request with an error as its final response. If the request has been dispatched and its response has not
 * begun, CancelDispatch follows. The transport layer ignores the refusal if the response has begun in the meantime.
 */
struct Refuse
{
    state::RequestId request;
    Refusal refusal;
};

/** Closes a running dispatch and tells the target to cancel it. */
struct CancelDispatch
{
    state::RequestId request;
};

/** Sends a message to a peer; delivery is not guaranteed. */
struct SendMessage
{
    state::HostId to;
    std::string address;
    std::uint16_t port = 0;
    Message message;
};

/** Appends records to a stream in one operation, which the transport layer does not retry. */
struct AppendRecords
{
    state::Stream stream = state::Stream::Claims;
    std::vector<state::LogRecord> records;
};

/** Kind of an order to a target. */
enum class OrderKind {
    LoadVersion,
};

/** Sends an order to a target. */
struct SendOrder
{
    std::uint64_t order = 0;
    state::TargetId target;
    std::string address;
    std::uint16_t port = 0;
    OrderKind kind = OrderKind::LoadVersion;
    state::VersionName version;
    state::Offset fencing = 0;
};

/** Target whose load reports and cache events this host needs. */
struct WatchedTarget
{
    state::TargetId target;
    std::string address;
    std::uint16_t port = 0;
};

/** Replaces the set of targets whose load reports and cache events are read. */
struct WatchTargets
{
    std::vector<WatchedTarget> targets;
};

/** Puts a configuration into force. */
struct ApplyConfiguration
{
    std::shared_ptr<const state::Configuration> configuration;
    state::Generation generation = 0;
};

/** Changes the response of the readiness endpoint. */
struct SetReady
{
    bool ready = false;
    std::string reason;
};

/** Reports the end of a drain: all accepted requests have ended, or the drain timeout has passed. */
struct DrainComplete
{
};

/** One field of a log line. */
struct LogField
{
    std::string key;
    std::string value;
};

/** Writes one log line. */
struct WriteLog
{
    std::string event;
    std::vector<LogField> fields;
};

/** Output of the decision library. */
using Action = std::variant<Dispatch,
                            Refuse,
                            CancelDispatch,
                            SendMessage,
                            AppendRecords,
                            SendOrder,
                            WatchTargets,
                            ApplyConfiguration,
                            SetReady,
                            DrainComplete,
                            WriteLog>;

/** Actions in the order in which they were decided. */
using Actions = std::vector<Action>;

} // namespace sapphirecove::coordination
