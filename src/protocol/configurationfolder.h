#pragma once

#include "protocol/documentreport.h"
#include "state/configuration.h"

#include <filesystem>
#include <string>
#include <vector>

namespace sapphirecove::protocol {

/** Configuration read from a folder. */
struct ConfigurationFolder
{
    std::string document; /**< merged, with sorted keys; empty if there are problems */
    state::Configuration configuration; /**< empty if there are problems */
    std::vector<DocumentProblem> problems; /**< in all files */
};

/**
 * Reads the *.json files of @p folder and merges them in order of file name: objects by key, while scalar values and
 * arrays of later files replace earlier ones.
 */
ConfigurationFolder readConfigurationFolder(const std::filesystem::path &folder);

} // namespace sapphirecove::protocol
