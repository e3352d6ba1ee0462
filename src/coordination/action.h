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
 * Send a request to a target. The transport layer answers with DispatchRefused (nothing was sent, also when it could
 * not start before @c expires) or with DispatchStarted and later DispatchFinished, unless it reported
 * CallerDisconnected before.
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
 * Give a caller its final answer. For a dispatched request whose answer has not begun it is followed by CancelDispatch;
 * if the answer has begun meanwhile, the transport layer ignores the refusal.
 */
struct Refuse
{
    state::RequestId request;
    Refusal refusal;
};

/** Close a running dispatch and tell the target to cancel it. */
struct CancelDispatch
{
    state::RequestId request;
};

/** Send a message to a peer; it may be lost. */
struct SendMessage
{
    state::HostId to;
    std::string address;
    std::uint16_t port = 0;
    Message message;
};

/** Append records to a stream in one append; not repeated by the transport layer. */
struct AppendRecords
{
    state::Stream stream = state::Stream::Claims;
    std::vector<state::LogRecord> records;
};

/** Kind of an order to a target. */
enum class OrderKind {
    LoadVersion,
};

/** Send an order to a target. */
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

/** Replace the set of targets whose load reports and cache events are read. */
struct WatchTargets
{
    std::vector<WatchedTarget> targets;
};

/** Use this configuration from now on. */
struct ApplyConfiguration
{
    std::shared_ptr<const state::Configuration> configuration;
    state::Generation generation = 0;
};

/** Change the answer of the readiness endpoint. */
struct SetReady
{
    bool ready = false;
    std::string reason;
};

/** All accepted work has ended after a DrainRequested. */
struct DrainComplete
{
};

/** One field of a log line. */
struct LogField
{
    std::string key;
    std::string value;
};

/** Write one log line. */
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
