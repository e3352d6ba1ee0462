#include "protocol/configurationfolder.h"

#include "protocol/configurationreader.h"
#include "protocol/documenttext.h"

#include <algorithm>

namespace sapphirecove::protocol {

namespace {

/** Returns the *.json files of @p folder in order of their names. */
std::vector<std::filesystem::path> listFiles(const std::filesystem::path &folder, DocumentReport &report)
{
    std::vector<std::filesystem::path> files;
    std::error_code error;
    std::filesystem::directory_iterator entry(folder, error);
    while (!error && entry != std::filesystem::directory_iterator()) {
        if (entry->path().extension() == ".json") {
            files.push_back(entry->path());
        }
        entry.increment(error);
    }
    if (error) {
        report.add("", "a folder that can be read: " + error.message());
    } else if (files.empty()) {
        report.add("", "a folder with at least one *.json file");
    }
    std::sort(files.begin(), files.end());
    return files;
}

/** Merges @p overlay, which comes from @p file and stands at @p pointer, into @p base. */
void mergeInto(json::object &base,
               const json::object &overlay,
               const std::string &pointer,
               const std::string &file,
               DocumentReport &report)
{
    for (const json::key_value_pair &entry : overlay) {
        std::string memberPointer = pointer;
        appendPointer(memberPointer, { entry.key().data(), entry.key().size() });
        json::value *existing = base.if_contains(entry.key());
        if (existing != nullptr && existing->is_object() && entry.value().is_object()) {
            mergeInto(existing->get_object(), entry.value().get_object(), memberPointer, file, report);
            continue;
        }
        base.insert_or_assign(entry.key(), entry.value());
        report.setOrigin(memberPointer, file);
    }
}

} // namespace

ConfigurationFolder readConfigurationFolder(const std::filesystem::path &folder)
{
    ConfigurationFolder result;
    DocumentReport report(folder.string());
    json::object merged;
    for (const std::filesystem::path &path : listFiles(folder, report)) {
        const auto text = readDocumentFile(path, report);
        const auto document = text ? parseDocument(*text, path.string(), report) : std::nullopt;
        if (document) {
            mergeInto(merged, *document, "", path.string(), report);
        }
    }
    state::Configuration configuration = ConfigurationReader::read(merged, report);
    result.problems = report.problems();
    if (result.problems.empty()) {
        result.document = canonicalText(merged);
        result.configuration = std::move(configuration);
    }
    return result;
}

} // namespace sapphirecove::protocol
