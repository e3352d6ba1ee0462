#pragma once

#include "protocol/documentreport.h"
#include "protocol/settings.h"
#include "state/failure.h"

#include <filesystem>
#include <string>

namespace sapphirecove::protocol {

/**
 * Reads a settings file and reports every problem. The result is meaningful only if @p report is empty afterwards.
 * Relative file names in it are resolved against the folder of @p path.
 */
Settings readSettings(const std::filesystem::path &path, DocumentReport &report);

/** Step of the Failure of loadSettings. */
constexpr std::string_view SettingsStep = "settings.read";

/** Reads a settings file; the Failure lists every problem. */
state::Result<Settings> loadSettings(const std::filesystem::path &path);

/** Reads a bearer key: the content of @p path without white space at its ends, 16 to 4096 visible ASCII characters. */
state::Result<std::string> loadKey(const std::filesystem::path &path);

} // namespace sapphirecove::protocol
