#pragma once

#include "protocol/documentreport.h"
#include "protocol/json.h"

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Largest settings or configuration file; 12,000 targets take about 2 MB. */
constexpr std::size_t MaxDocumentBytes = std::size_t{ 32 } * 1024 * 1024;

/** Reads a file of at most MaxDocumentBytes; absent if that fails, with the problem in @p report. */
std::optional<std::string> readDocumentFile(const std::filesystem::path &path, DocumentReport &report);

/**
 * Parses a settings or configuration document, which must be one JSON object. Reports invalid UTF-8, malformed JSON,
 * nesting deeper than MaxJsonDepth and duplicate keys as problems of @p file. Absent only if no object was parsed.
 */
std::optional<json::object> parseDocument(std::string_view text, std::string_view file, DocumentReport &report);

/** Returns @p value as JSON text with sorted keys, so that equal documents have equal text. */
std::string canonicalText(const json::value &value);

} // namespace sapphirecove::protocol
