#pragma once

#include "protocol/documentreport.h"
#include "protocol/objectreader.h"
#include "state/configuration.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirecove::protocol {

/** Reads the sections of one configuration document; each section is read after those that it refers to. */
class ConfigurationSectionReader
{
public:
    /** @p document and @p report must outlive the reader. */
    ConfigurationSectionReader(const json::object &document, DocumentReport &report);

    /** Reads all sections and reports every problem. */
    state::Configuration read();

private:
    void readTiers(const ObjectReader &section);
    void readTier(const std::string &name, ObjectReader reader);
    void readFailureDomains(const ObjectReader &section);
    void readCustomers(const ObjectReader &section);
    void readCustomer(const std::string &id, ObjectReader reader);
    void readKeyHashes(ObjectReader &reader, state::Customer &customer);
    void readPools(const ObjectReader &section);
    void readPool(const std::string &id, ObjectReader reader);
    void readModel(ObjectReader &reader, state::Pool &pool);
    void readRoutes(ObjectReader &reader, state::Pool &pool);
    state::Route readRoute(ObjectReader reader);
    void readTargets(const ObjectReader &section);
    void readTarget(const std::string &id, ObjectReader reader);
    void readChanges(const ObjectReader &section);
    void readChange(const std::string &id, ObjectReader reader);
    void readLimits(ObjectReader reader);

    /** Reads the name of a tier; absent if it is missing or undeclared. */
    std::optional<state::Tier> readTierName(ObjectReader &reader, std::string_view field, Presence presence);

    /** Reads the name of a pool; null if it is missing or undeclared. */
    const state::Pool *readPoolName(ObjectReader &reader);

    /** Calls @p readEntry with the name and the reader of each entry of a section. */
    void forEachEntry(const ObjectReader &section,
                      void (ConfigurationSectionReader::*readEntry)(const std::string &, ObjectReader));

    const json::object &m_document;
    DocumentReport &m_report;
    state::Configuration m_configuration;
    std::map<std::string, state::Tier> m_tierNames;
    std::map<std::string, std::string> m_keyOwners; /**< key hash to customer */
    std::map<std::string, std::string> m_modelPools; /**< model to pool */
};

} // namespace sapphirecove::protocol
