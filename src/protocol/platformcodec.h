#pragma once

#include "coordination/action.h"
#include "coordination/event.h"
#include "state/failure.h"
#include "state/hostlist.h"

#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Response of an engine to a read of its cache events. */
struct CacheEventsResponse
{
    state::Offset first = 0; /**< oldest event that the engine keeps */
    state::Offset next = 0; /**< offset for the next read */
    coordination::CacheChanged change;
};

/** Decodes the platform's host list. */
state::Result<state::HostList> decodeHostList(std::string_view body, std::string_view peer);

/** Decodes an engine's load report. */
state::Result<coordination::LoadReported>
decodeLoadReport(std::string_view body, const state::TargetId &target, std::string_view peer);

/**
 * Decodes the response to GET /v1/cache_events?from=@p from. The events are merged into one change, in which only the
 * last event of each hash counts. @c gap is set if events after @p from were lost.
 */
state::Result<CacheEventsResponse>
decodeCacheEvents(std::string_view body, const state::TargetId &target, state::Offset from, std::string_view peer);

/** Returns the body of POST /v1/orders. */
std::string encodeOrderBody(const coordination::SendOrder &order);

/** Decodes an engine's response to @p order from the HTTP @p status and body; @c delivered is true. */
state::Result<coordination::OrderAnswered>
decodeOrderResponse(int status, std::string_view body, const coordination::SendOrder &order, std::string_view peer);

} // namespace sapphirecove::protocol
