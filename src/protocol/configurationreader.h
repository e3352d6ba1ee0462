#pragma once

#include "coordination/documentchecker.h"
#include "protocol/documentreport.h"
#include "protocol/json.h"

namespace sapphirecove::protocol {

/** Reads merged configuration documents (section 8.2 of docs/design.md). */
class ConfigurationReader final : public coordination::DocumentChecker
{
public:
    /** Returns the configuration, or a Failure that lists every problem. */
    state::Result<std::shared_ptr<const state::Configuration>> check(std::string_view document) const override;

    /**
     * Reads @p document and adds every problem to @p report, which knows the file that each value comes from.
     * The result is meaningful only if @p report is empty afterwards.
     */
    static state::Configuration read(const json::object &document, DocumentReport &report);
};

} // namespace sapphirecove::protocol
