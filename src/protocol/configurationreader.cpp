#include "protocol/configurationreader.h"

#include "protocol/configurationsectionreader.h"
#include "protocol/documenttext.h"

namespace sapphirecove::protocol {

state::Configuration ConfigurationReader::read(const json::object &document, DocumentReport &report)
{
    return ConfigurationSectionReader(document, report).read();
}

state::Result<std::shared_ptr<const state::Configuration>> ConfigurationReader::check(std::string_view document) const
{
    DocumentReport report("document");
    const auto object = parseDocument(document, "document", report);
    auto configuration = std::make_shared<state::Configuration>();
    if (object) {
        *configuration = read(*object, report);
    }
    if (!report.problems().empty()) {
        return report.failure("configuration.check");
    }
    return std::shared_ptr<const state::Configuration>(std::move(configuration));
}

} // namespace sapphirecove::protocol
