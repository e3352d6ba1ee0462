#pragma once

#include "coordination/statusreport.h"
#include "state/failure.h"

#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Part of the status that an operator endpoint returns. */
enum class StatusPart {
    Whole, /**< /operators/v1/status */
    Configuration, /**< /operators/v1/configuration: generation, publish_id, publications */
    Versions, /**< /operators/v1/versions: changes */
    Audit, /**< /operators/v1/audit: audit */
};

/** Returns the path of the endpoint of @p part. */
std::string_view statusPath(StatusPart part);

/** Returns @p part of @p report as JSON. */
std::string encodeStatus(const coordination::StatusReport &report, StatusPart part);

/** Reads @p part of a report; the other parts of the result are empty. */
state::Result<coordination::StatusReport> decodeStatus(StatusPart part, std::string_view body, std::string_view peer);

} // namespace sapphirecove::protocol
