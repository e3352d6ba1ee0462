#pragma once

#include "coordination/entry/selfstatement.h"
#include "state/entry/routing.h"
#include "state/entry/targetentry.h"
#include "state/failure.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::transport::entry {

/** Fields of a caller's request header beyond method, path and host. */
struct RequestFields
{
    std::string attemptId; /**< the caller's id of the request; the caller calls each of its own tries an attempt */
    std::optional<state::Duration> deadline; /**< how long the caller waits */
    std::string key; /**< the customer's key; empty if none was sent */
    bool declaresTokens = false;
    double promptTokens = 0;
    double maxOutputTokens = 0;
    std::optional<double> expectedOutputTokens; /**< the caller's estimate */
    std::optional<std::uint64_t> lastEventId; /**< last event of this stream that the caller has received */
    std::vector<std::uint64_t> promptParts; /**< parts of the prompt that other requests may share, in order */
};

/** Fields that the host sets on the request to a target. */
struct ForwardFields
{
    std::string targetId; /**< incarnation that may run the request; any other rejects it */
    std::string customer; /**< empty for a public route */
    state::Duration deadline{}; /**< time left */
    std::optional<std::uint64_t> lastEventId;
};

/** Fields of a target's response header beyond its status. */
struct ResponseFields
{
    std::string attemptId; /**< attempt that the response belongs to; empty if it names none */
    bool hasSignature = false; /**< carries the target's signature */
    bool notExecuted = false; /**< the target states that it did not run the request */
    coordination::entry::SelfStatement statement;
    std::string malformedStatement; /**< name and value of a field that cannot be read as its form demands; or empty */
};

/** Kind of a record in the operator's topic. */
enum class OperatorRecord { Configuration, RolloutOrder, Evacuation, Unknown };

/** Encodes and decodes a deployment's requests and documents. Implemented in platform/, outside src/. */
class WireCodec
{
public:
    using RequestHeader = boost::beast::http::request_header<>;
    using ResponseHeader = boost::beast::http::response_header<>;

    virtual ~WireCodec() = default;

    virtual state::Result<RequestFields> decodeRequest(const RequestHeader &header) const = 0;

    /** Removes fields that must not reach a target from @p header and sets @p fields. */
    virtual void prepareForward(RequestHeader &header, const ForwardFields &fields) const = 0;

    virtual ResponseFields decodeResponse(const ResponseHeader &header) const = 0;

    /**
     * Returns whether field @p name of the deployment is for the final receiver of a message. Naming it in Connection
     * does not make it a field of one connection (RFC 9110, section 7.6.1).
     */
    virtual bool isEndToEnd(std::string_view name) const = 0;

    /** Returns the kind of the operator's record with @p key. */
    virtual OperatorRecord classify(std::string_view key) const = 0;

    /** Returns the service that the rollout order or status with @p key is about; none for other keys. */
    virtual std::optional<std::string> rolloutService(std::string_view key) const = 0;

    /** Returns the failure domain that the evacuation order with @p key is about; none for other keys. */
    virtual std::optional<std::string> evacuatedDomain(std::string_view key) const = 0;

    /** Returns whether @p document is that of an evacuation order. */
    virtual bool isEvacuation(std::string_view document) const = 0;

    /** Returns the key of the rollout status of @p service. */
    virtual std::string rolloutKey(std::string_view service) const = 0;

    virtual state::Result<state::entry::RoutingTable> decodeConfiguration(std::string_view document) const = 0;
    virtual state::Result<state::entry::TargetEntry> decodeTarget(std::string_view id,
                                                                  std::string_view document) const = 0;
    virtual state::Result<state::entry::RolloutOrder> decodeRollout(std::string_view document) const = 0;
    virtual state::Result<state::entry::RolloutStatus> decodeRolloutStatus(std::string_view service,
                                                                           std::string_view document) const = 0;
    virtual std::string encodeRolloutStatus(const state::entry::RolloutStatus &status) const = 0;
};

} // namespace sapphirecove::transport::entry
