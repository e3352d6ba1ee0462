#include "protocol/configurationsectionreader.h"

#include "protocol/timestamp.h"

#include <algorithm>

namespace sapphirecove::protocol {

namespace {

constexpr std::int64_t MillisecondsPerDay = 86'400'000;
constexpr IntegerBounds DeadlineBounds{ 1, MillisecondsPerDay }; // ms
constexpr IntegerBounds ConcurrencyBounds{ 0, 1'000'000 };
constexpr NumberBounds WeightBounds{ 0.001, 1'000'000 };
constexpr NumberBounds RequestRateBounds{ 0, 1'000'000 }; // per second
constexpr IntegerBounds StreamBounds{ 1, 100'000 };
constexpr IntegerBounds PrefillTokenBounds{ 1, 1'000'000'000 };
constexpr NumberBounds TokenRateBounds{ 0.001, 1'000'000'000 }; // per second
constexpr IntegerBounds ServiceTimeBounds{ 1, 3'600'000 }; // ms
constexpr IntegerBounds QueueLengthBounds{ 1, 1'000'000 };
constexpr IntegerBounds QueueBytesBounds{ 1024, std::int64_t{ 1024 } * 1024 * 1024 * 1024 };
constexpr IntegerBounds BodyBytesBounds{ 1024, std::int64_t{ 1024 } * 1024 * 1024 };
constexpr IntegerBounds ClaimTimeoutBounds{ 1, 60'000 }; // ms
constexpr std::size_t HashDigits = 64;

bool isKeyHash(std::string_view text)
{
    return text.size() == HashDigits && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

/** Reads the capacity that goes with a kind of pool; missing fields keep the values in @p capacity. */
void readCapacity(ObjectReader reader, state::PoolKind kind, state::TargetCapacity &capacity)
{
    reader.readInteger("streams", capacity.streams, StreamBounds, Presence::Optional);
    if (kind == state::PoolKind::Service) {
        reader.readMilliseconds("service_time_ms", capacity.serviceTime, ServiceTimeBounds, Presence::Optional);
    } else {
        reader.readInteger("prefill_tokens", capacity.prefillTokens, PrefillTokenBounds, Presence::Optional);
        reader.readNumber(
            "prefill_tokens_per_second", capacity.prefillTokensPerSecond, TokenRateBounds, Presence::Optional);
        reader.readNumber(
            "decode_tokens_per_second", capacity.decodeTokensPerSecond, TokenRateBounds, Presence::Optional);
    }
    reader.finish();
}

} // namespace

ConfigurationSectionReader::ConfigurationSectionReader(const json::object &document, DocumentReport &report)
    : m_document(document)
    , m_report(report)
{
}

state::Configuration ConfigurationSectionReader::read()
{
    ObjectReader reader(m_document, "", m_report);
    readTiers(reader.object("tiers", Presence::Required));
    readFailureDomains(reader.object("failure_domains", Presence::Optional));
    readCustomers(reader.object("customers", Presence::Optional));
    readPools(reader.object("pools", Presence::Optional));
    readTargets(reader.object("targets", Presence::Optional));
    readChanges(reader.object("changes", Presence::Optional));
    readLimits(reader.object("limits", Presence::Optional));
    reader.finish();
    return std::move(m_configuration);
}

void ConfigurationSectionReader::forEachEntry(const ObjectReader &section,
                                              void (ConfigurationSectionReader::*readEntry)(const std::string &,
                                                                                            ObjectReader))
{
    for (const json::key_value_pair &entry : section.members()) {
        const std::string name(entry.key().data(), entry.key().size());
        const std::string pointer = section.pointerTo(name);
        if (!isName(name)) {
            m_report.add(pointer, "a name of " + std::string(NameExpectation));
        }
        (this->*readEntry)(name, ObjectReader(entry.value(), pointer, m_report));
    }
}

void ConfigurationSectionReader::readTiers(const ObjectReader &section)
{
    forEachEntry(section, &ConfigurationSectionReader::readTier);
    if (m_document.contains("tiers") && section.members().empty()) {
        m_report.add("/tiers", "at least one tier");
    }
}

void ConfigurationSectionReader::readTier(const std::string &name, ObjectReader reader)
{
    state::TierRule rule;
    rule.name = name;
    rule.tier = -1;
    reader.readInteger("tier", rule.tier, TierBounds, Presence::Required);
    reader.readMilliseconds("default_deadline_ms", rule.defaultDeadline, DeadlineBounds, Presence::Required);
    reader.finish();
    m_tierNames[name] = rule.tier;
    if (rule.tier < 0) {
        return;
    }
    const auto [entry, inserted] = m_configuration.tiers.emplace(rule.tier, rule);
    if (!inserted) {
        reader.reject("tier", "a number that no other tier has, but \"" + entry->second.name + "\" has it");
    }
}

void ConfigurationSectionReader::readFailureDomains(const ObjectReader &section)
{
    for (const json::key_value_pair &entry : section.members()) {
        const std::string name(entry.key().data(), entry.key().size());
        const std::string pointer = section.pointerTo(name);
        if (!isName(name)) {
            m_report.add(pointer, "a name of " + std::string(NameExpectation));
        }
        ObjectReader reader(entry.value(), pointer, m_report);
        reader.readName("region", m_configuration.failureDomains[name], Presence::Required);
        reader.finish();
    }
}

void ConfigurationSectionReader::readCustomers(const ObjectReader &section)
{
    forEachEntry(section, &ConfigurationSectionReader::readCustomer);
}

void ConfigurationSectionReader::readCustomer(const std::string &id, ObjectReader reader)
{
    state::Customer customer;
    customer.id = id;
    readKeyHashes(reader, customer);
    reader.readNumber("weight", customer.weight, WeightBounds, Presence::Optional);
    const auto highestTier = readTierName(reader, "highest_tier", Presence::Required);
    const auto defaultTier = readTierName(reader, "default_tier", Presence::Required);
    if (highestTier && defaultTier && *defaultTier < *highestTier) {
        reader.reject("default_tier", "a tier that is not more urgent than highest_tier");
    }
    customer.highestTier = highestTier.value_or(0);
    customer.defaultTier = defaultTier.value_or(0);
    reader.readNumber("requests_per_second", customer.requestsPerSecond, RequestRateBounds, Presence::Optional);
    reader.readInteger("max_concurrent", customer.maxConcurrent, ConcurrencyBounds, Presence::Optional);
    reader.finish();
    m_configuration.customers.emplace(id, std::move(customer));
}

void ConfigurationSectionReader::readKeyHashes(ObjectReader &reader, state::Customer &customer)
{
    std::size_t index = 0;
    for (const json::value &element : reader.array("key_hashes", Presence::Required)) {
        const std::string pointer = reader.pointerTo("key_hashes") + '/' + std::to_string(index++);
        if (!element.is_string() || !isKeyHash(viewOf(element.get_string()))) {
            m_report.add(pointer, "64 lower-case hexadecimal digits");
            continue;
        }
        const std::string hash(viewOf(element.get_string()));
        const auto [owner, inserted] = m_keyOwners.emplace(hash, customer.id);
        if (!inserted) {
            m_report.add(pointer, "a key hash that occurs once, but customer \"" + owner->second + "\" has it");
        }
        customer.keyHashes.push_back(hash);
    }
}

void ConfigurationSectionReader::readPools(const ObjectReader &section)
{
    forEachEntry(section, &ConfigurationSectionReader::readPool);
}

void ConfigurationSectionReader::readPool(const std::string &id, ObjectReader reader)
{
    state::Pool pool;
    pool.id = id;
    std::string kind;
    reader.readText("kind", kind, Presence::Required);
    if (kind == "service") {
        pool.kind = state::PoolKind::Service;
        readRoutes(reader, pool);
    } else if (kind == "model") {
        readModel(reader, pool);
    } else {
        reader.reject("kind", "one of model, service");
        readModel(reader, pool);
        readRoutes(reader, pool);
    }
    reader.readName("version", pool.version, Presence::Required);
    readCapacity(reader.object("capacity", Presence::Optional), pool.kind, pool.capacity);
    reader.finish();
    m_configuration.pools.emplace(id, std::move(pool));
}

void ConfigurationSectionReader::readModel(ObjectReader &reader, state::Pool &pool)
{
    reader.readText("model", pool.model, Presence::Required);
    if (pool.model.empty()) {
        return;
    }
    const auto [owner, inserted] = m_modelPools.emplace(pool.model, pool.id);
    if (!inserted) {
        reader.reject("model", "a model that no other pool serves, but \"" + owner->second + "\" does");
    }
}

void ConfigurationSectionReader::readRoutes(ObjectReader &reader, state::Pool &pool)
{
    std::size_t index = 0;
    for (const json::value &element : reader.array("routes", Presence::Optional)) {
        const std::string pointer = reader.pointerTo("routes") + '/' + std::to_string(index++);
        state::Route route = readRoute(ObjectReader(element, pointer, m_report));
        const bool duplicate = std::any_of(pool.routes.begin(), pool.routes.end(), [&](const state::Route &other) {
            return other.method == route.method && other.pathPrefix == route.pathPrefix;
        });
        if (duplicate) {
            m_report.add(pointer, "a method and path prefix that no other route of the pool has");
        }
        pool.routes.push_back(std::move(route));
    }
}

state::Route ConfigurationSectionReader::readRoute(ObjectReader reader)
{
    state::Route route;
    reader.readText("method", route.method, Presence::Required);
    const bool upperCase = std::all_of(route.method.begin(), route.method.end(), [](char c) {
        return c >= 'A' && c <= 'Z';
    });
    if (!upperCase && route.method != "*") {
        reader.reject("method", "an HTTP method in upper case or \"*\"");
    }
    reader.readText("path_prefix", route.pathPrefix, Presence::Required);
    if (!route.pathPrefix.empty() && route.pathPrefix.front() != '/') {
        reader.reject("path_prefix", "a path that starts with '/'");
    }
    reader.readFlag("idempotent", route.idempotent, Presence::Optional);
    reader.readFlag("require_key", route.requireIdempotencyKey, Presence::Optional);
    route.tier = readTierName(reader, "tier", Presence::Optional);
    reader.finish();
    return route;
}

void ConfigurationSectionReader::readTargets(const ObjectReader &section)
{
    forEachEntry(section, &ConfigurationSectionReader::readTarget);
}

void ConfigurationSectionReader::readTarget(const std::string &id, ObjectReader reader)
{
    state::Target target;
    target.id = id;
    const state::Pool *pool = readPoolName(reader);
    target.pool = pool == nullptr ? "" : pool->id;
    reader.readText("address", target.address, Presence::Required);
    if (!target.address.empty() && !isIpAddress(target.address)) {
        reader.reject("address", "an IP address");
    }
    int port = 0;
    reader.readInteger("port", port, PortBounds, Presence::Required);
    target.port = static_cast<std::uint16_t>(port);
    reader.readName("failure_domain", target.failureDomain, Presence::Required);
    if (!target.failureDomain.empty() && !m_configuration.failureDomains.contains(target.failureDomain)) {
        reader.reject("failure_domain", "a name declared in /failure_domains");
    }
    if (const json::value *capacity = reader.member("capacity", Presence::Optional)) {
        target.capacity = pool == nullptr ? state::TargetCapacity() : pool->capacity;
        const auto kind = pool == nullptr ? state::PoolKind::Model : pool->kind;
        readCapacity(ObjectReader(*capacity, reader.pointerTo("capacity"), m_report), kind, *target.capacity);
    }
    reader.readFlag("checks_fencing", target.checksFencing, Presence::Optional);
    reader.finish();
    m_configuration.targets.emplace(id, std::move(target));
}

void ConfigurationSectionReader::readChanges(const ObjectReader &section)
{
    forEachEntry(section, &ConfigurationSectionReader::readChange);
}

void ConfigurationSectionReader::readChange(const std::string &id, ObjectReader reader)
{
    state::VersionChange change;
    change.id = id;
    const state::Pool *pool = readPoolName(reader);
    change.pool = pool == nullptr ? "" : pool->id;
    reader.readName("from", change.from, Presence::Required);
    reader.readName("to", change.to, Presence::Required);
    if (!change.to.empty() && change.from == change.to) {
        reader.reject("to", "a version other than \"from\"");
    }
    std::string deadline;
    reader.readText("deadline", deadline, Presence::Required);
    const auto time = parseTimestamp(deadline);
    if (!deadline.empty() && !time) {
        reader.reject("deadline", "a time in UTC such as \"2026-12-05T06:00:00Z\"");
    }
    change.deadline = time.value_or(state::Time());
    reader.finish();
    m_configuration.changes.push_back(std::move(change));
}

void ConfigurationSectionReader::readLimits(ObjectReader reader)
{
    state::Limits &limits = m_configuration.limits;
    reader.readInteger("queue_length", limits.queueLength, QueueLengthBounds, Presence::Optional);
    reader.readInteger("queue_bytes", limits.queueBytes, QueueBytesBounds, Presence::Optional);
    reader.readInteger("max_body_bytes", limits.maxBodyBytes, BodyBytesBounds, Presence::Optional);
    reader.readMilliseconds("claim_timeout_ms", limits.claimTimeout, ClaimTimeoutBounds, Presence::Optional);
    reader.finish();
}

std::optional<state::Tier>
ConfigurationSectionReader::readTierName(ObjectReader &reader, std::string_view field, Presence presence)
{
    std::string name;
    reader.readText(field, name, presence);
    if (name.empty()) {
        return std::nullopt;
    }
    const auto entry = m_tierNames.find(name);
    if (entry == m_tierNames.end()) {
        reader.reject(field, "the name of a tier declared in /tiers");
        return std::nullopt;
    }
    return entry->second;
}

const state::Pool *ConfigurationSectionReader::readPoolName(ObjectReader &reader)
{
    std::string name;
    reader.readText("pool", name, Presence::Required);
    const auto entry = m_configuration.pools.find(name);
    if (entry == m_configuration.pools.end()) {
        if (!name.empty()) {
            reader.reject("pool", "the name of a pool declared in /pools");
        }
        return nullptr;
    }
    return &entry->second;
}

} // namespace sapphirecove::protocol
