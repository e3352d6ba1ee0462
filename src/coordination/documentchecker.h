#pragma once

#include "state/configuration.h"
#include "state/failure.h"

#include <memory>
#include <string_view>

namespace sapphirecove::coordination {

/** Parses and validates a merged configuration document; implemented by the protocol layer. */
class DocumentChecker
{
public:
    virtual ~DocumentChecker() = default;

    /** Returns the configuration, or a Failure that lists all problems found. */
    virtual state::Result<std::shared_ptr<const state::Configuration>> check(std::string_view document) const = 0;
};

} // namespace sapphirecove::coordination
