#include "coordination/configurationfollower.h"

#include <algorithm>

namespace sapphirecove::coordination {

namespace {

std::size_t documentBytes(const state::StoredRecord &stored)
{
    if (const auto *published = std::get_if<state::ConfigurationPublished>(&stored.record)) {
        return published->document.size();
    }
    if (const auto *checkpoint = std::get_if<state::ConfigurationCheckpoint>(&stored.record)) {
        return checkpoint->document.size();
    }
    return 0;
}

AuditEntry
auditEntry(const PublicationStatus &publication, const std::string &actor, state::Generation base, state::Time time)
{
    AuditEntry entry;
    entry.time = time;
    entry.actor = actor;
    entry.kind = "configuration";
    entry.subject = publication.publishId;
    entry.base = std::to_string(base);
    entry.outcome = publication.accepted ? "accepted" : "rejected";
    entry.detail = publication.detail;
    return entry;
}

} // namespace

ConfigurationFollower::ConfigurationFollower(const DocumentChecker &checker)
    : m_checker(&checker)
{
}

ConfigurationFollower ConfigurationFollower::create(const DocumentChecker &checker)
{
    return ConfigurationFollower(checker);
}

void ConfigurationFollower::readFrom(state::Offset first)
{
    m_first = std::max(m_first, first);
    if (first <= m_position) {
        return;
    }
    m_logGenerationKnown = false;
    m_position = first;
    m_pending.clear();
    m_pendingBytes = 0;
    m_pendingFrom = first;
}

std::vector<ConfigurationOutcome> ConfigurationFollower::apply(const state::StoredRecord &stored, state::Time now)
{
    std::vector<ConfigurationOutcome> outcomes;
    if (stored.offset < m_position) {
        return outcomes;
    }
    m_position = stored.offset + 1;
    if (m_logGenerationKnown) {
        evaluate(stored, now, outcomes);
    } else {
        applyWithUnknownGeneration(stored, now, outcomes);
    }
    updateReadiness();
    return outcomes;
}

void ConfigurationFollower::applyWithUnknownGeneration(const state::StoredRecord &stored,
                                                       state::Time now,
                                                       Outcomes &outcomes)
{
    addPending(stored);
    const auto *checkpoint = std::get_if<state::ConfigurationCheckpoint>(&stored.record);
    if (checkpoint == nullptr) {
        return;
    }
    std::string problem;
    const auto version = validated({ checkpoint->generation,
                                     checkpoint->publishId,
                                     checkpoint->operatorName,
                                     checkpoint->document,
                                     nullptr,
                                     stored.time },
                                   problem);
    if (!version) {
        return;
    }
    adopt(*version, "log", now, outcomes);
    const bool isOffsetValid = checkpoint->readTo != 0 && checkpoint->readTo <= stored.offset;
    if (isOffsetValid && checkpoint->readTo >= m_pendingFrom) {
        resolveGeneration(*version, checkpoint->readTo, now, outcomes);
    }
}

void ConfigurationFollower::evaluate(const state::StoredRecord &stored, state::Time now, Outcomes &outcomes)
{
    if (std::holds_alternative<state::ConfigurationPublished>(stored.record)) {
        evaluatePublication(stored, outcomes);
    } else if (std::holds_alternative<state::ConfigurationCheckpoint>(stored.record)) {
        evaluateCheckpoint(stored, now, outcomes);
    }
}

void ConfigurationFollower::evaluatePublication(const state::StoredRecord &stored, Outcomes &outcomes)
{
    const auto &published = std::get<state::ConfigurationPublished>(stored.record);
    if (published.publishId == m_logVersion.publishId && m_logVersion.generation > 0) {
        return;
    }
    PublicationStatus publication{ published.publishId, false, 0, "" };
    if (published.baseGeneration != m_logVersion.generation) {
        publication.detail = "base generation " + std::to_string(published.baseGeneration) + " is not in force; "
            + std::to_string(m_logVersion.generation) + " is";
    } else {
        const auto version = validated({ published.baseGeneration + 1,
                                         published.publishId,
                                         published.operatorName,
                                         published.document,
                                         nullptr,
                                         stored.time },
                                       publication.detail);
        if (version) {
            publication.accepted = true;
            publication.generation = version->generation;
            m_logVersion = *version;
        }
    }
    if (m_logVersion.generation > m_inForce.generation) {
        m_inForce = m_logVersion;
    }
    updateLastLogged(publication.generation, stored.time);
    if (addPublication(publication)) {
        outcomes.push_back(
            { publication, auditEntry(publication, published.operatorName, published.baseGeneration, stored.time) });
    }
}

void ConfigurationFollower::evaluateCheckpoint(const state::StoredRecord &stored, state::Time now, Outcomes &outcomes)
{
    const auto &checkpoint = std::get<state::ConfigurationCheckpoint>(stored.record);
    updateLastLogged(checkpoint.generation, stored.time);
    if (checkpoint.generation <= m_logVersion.generation) {
        return;
    }
    std::string problem;
    const auto version = validated({ checkpoint.generation,
                                     checkpoint.publishId,
                                     checkpoint.operatorName,
                                     checkpoint.document,
                                     nullptr,
                                     stored.time },
                                   problem);
    if (!version) {
        return;
    }
    m_logVersion = *version;
    adopt(*version, "log", now, outcomes);
}

void ConfigurationFollower::addPending(const state::StoredRecord &stored)
{
    m_pending.push_back(stored);
    m_pendingBytes += documentBytes(stored);
    while (m_pending.size() > MaxPendingRecords || m_pendingBytes > MaxPendingBytes) {
        m_pendingBytes -= documentBytes(m_pending.front());
        m_pendingFrom = m_pending.front().offset + 1;
        m_pending.pop_front();
    }
}

void ConfigurationFollower::resolveGeneration(const AcceptedConfiguration &version,
                                              state::Offset offset,
                                              state::Time now,
                                              Outcomes &outcomes)
{
    m_logGenerationKnown = true;
    m_logVersion = version;
    m_position = std::max(m_position, offset);
    std::deque<state::StoredRecord> pending;
    pending.swap(m_pending);
    m_pendingBytes = 0;
    for (const auto &stored : pending) {
        if (stored.offset >= offset) {
            evaluate(stored, now, outcomes);
        }
    }
}

void ConfigurationFollower::readTo(state::Offset next, bool atEnd, state::Time now)
{
    m_position = std::max(m_position, next);
    m_atEnd = atEnd;
    if (atEnd) {
        m_readAt = now;
        resetIfLogEmpty(next);
    }
    updateReadiness();
}

void ConfigurationFollower::resetIfLogEmpty(state::Offset next)
{
    const bool isEmpty = m_first == next && m_first == m_position;
    const bool noHostHasConfiguration = m_settled && m_highestPeer == 0 && m_inForce.generation == 0;
    if (!m_logGenerationKnown && isEmpty && noHostHasConfiguration) {
        m_logGenerationKnown = true;
        m_logVersion = AcceptedConfiguration{};
    }
}

state::Offset ConfigurationFollower::readPosition() const
{
    return m_position;
}

std::vector<ConfigurationOutcome> ConfigurationFollower::applyOffer(const ConfigurationOffer &offer, state::Time now)
{
    std::vector<ConfigurationOutcome> outcomes;
    const bool isSame = offer.generation == m_inForce.generation && offer.document.empty();
    if (offer.generation == 0 || offer.generation < m_inForce.generation) {
        return outcomes;
    }
    std::optional<AcceptedConfiguration> version = m_inForce;
    if (!isSame) {
        std::string problem;
        version =
            validated({ offer.generation, offer.publishId, offer.operatorName, offer.document, nullptr, {} }, problem);
    }
    if (!version) {
        return outcomes;
    }
    adopt(*version, "peer", now, outcomes);
    const bool resolvesUnknown = !m_logGenerationKnown && offer.offset >= m_pendingFrom;
    const bool resolvesNewer =
        m_logGenerationKnown && offer.offset >= m_position && offer.generation > m_logVersion.generation;
    if (offer.offset != 0 && (resolvesUnknown || resolvesNewer)) {
        resolveGeneration(*version, offer.offset, now, outcomes);
    }
    updateReadiness();
    return outcomes;
}

std::optional<ConfigurationOffer> ConfigurationFollower::offer(const ConfigurationRequest &request) const
{
    const bool isOffsetKnown = m_logGenerationKnown && m_logVersion.generation == m_inForce.generation;
    const bool isNewer = m_inForce.generation > request.generation;
    const bool isSame = m_inForce.generation == request.generation && isOffsetKnown;
    if (m_inForce.generation == 0 || (!isNewer && !isSame)) {
        return std::nullopt;
    }
    ConfigurationOffer offer;
    offer.generation = m_inForce.generation;
    offer.offset = isOffsetKnown ? m_position : 0;
    offer.publishId = m_inForce.publishId;
    offer.operatorName = m_inForce.operatorName;
    offer.document = isNewer ? m_inForce.document : "";
    return offer;
}

void ConfigurationFollower::adopt(const AcceptedConfiguration &version,
                                  const std::string &source,
                                  state::Time now,
                                  Outcomes &outcomes)
{
    if (version.generation <= m_inForce.generation) {
        return;
    }
    const auto base = m_inForce.generation;
    m_inForce = version;
    const PublicationStatus publication{ version.publishId, true, version.generation, "adopted from " + source };
    if (addPublication(publication)) {
        outcomes.push_back({ publication, auditEntry(publication, version.operatorName, base, now) });
    }
}

bool ConfigurationFollower::addPublication(const PublicationStatus &publication)
{
    const auto known = std::find_if(m_publications.begin(), m_publications.end(), [&](const auto &other) {
        return other.publishId == publication.publishId;
    });
    if (known != m_publications.end()) {
        if (known->accepted || !publication.accepted) {
            return false;
        }
        m_publications.erase(known);
    }
    m_publications.push_back(publication);
    if (m_publications.size() > MaxPublications) {
        m_publications.pop_front();
    }
    return true;
}

void ConfigurationFollower::updateLastLogged(state::Generation generation, state::Time time)
{
    if (generation != 0 && generation == m_inForce.generation) {
        m_inForce.lastLoggedAt = std::max(m_inForce.lastLoggedAt.value_or(time), time);
    }
}

void ConfigurationFollower::updatePeers(state::Generation highest, bool settled, state::Time now)
{
    m_highestPeer = highest;
    m_settled = settled;
    if (highest <= m_inForce.generation) {
        m_behindSince.reset();
    } else if (!m_behindSince) {
        m_behindSince = now;
    }
    updateReadiness();
}

void ConfigurationFollower::updateReadiness()
{
    // Without a live peer to compare with, only reading the log to its end shows that this configuration is the newest.
    const bool isCompared = m_readAt || m_highestPeer > 0;
    const bool isNewest = m_inForce.generation > 0 && m_inForce.generation >= m_highestPeer;
    m_ready = m_ready || (m_settled && isCompared && isNewest);
}

std::optional<ConfigurationRequest> ConfigurationFollower::request(state::Time now)
{
    const bool isBehind = m_behindSince && now - *m_behindSince >= PeerAheadTolerance;
    const bool isLogVersionMissing = !m_logGenerationKnown || m_logVersion.generation < m_inForce.generation;
    const bool isNeeded = m_inForce.generation == 0 || isBehind || isLogVersionMissing;
    const bool requestedRecently = m_lastRequest && now - *m_lastRequest < RequestInterval;
    if (m_highestPeer == 0 || !isNeeded || requestedRecently) {
        return std::nullopt;
    }
    m_lastRequest = now;
    return ConfigurationRequest{ m_inForce.generation };
}

bool ConfigurationFollower::isReady() const
{
    return m_ready;
}

bool ConfigurationFollower::needsCheckpoint(state::Time now, state::Duration retention) const
{
    const bool isKnown =
        m_logGenerationKnown && m_atEnd && m_inForce.generation > 0 && m_logVersion.generation == m_inForce.generation;
    const bool appendedRecently = m_lastCheckpoint && now - *m_lastCheckpoint < CheckpointInterval;
    if (!isKnown || appendedRecently) {
        return false;
    }
    return !m_inForce.lastLoggedAt || now - *m_inForce.lastLoggedAt >= retention / 2;
}

state::ConfigurationCheckpoint ConfigurationFollower::checkpoint(state::Time now)
{
    m_lastCheckpoint = now;
    return { m_inForce.generation, m_inForce.publishId, m_inForce.operatorName, m_inForce.document, m_position };
}

std::shared_ptr<const state::Configuration> ConfigurationFollower::configuration() const
{
    return m_inForce.configuration;
}

state::Generation ConfigurationFollower::generation() const
{
    return m_inForce.generation;
}

const std::string &ConfigurationFollower::publishId() const
{
    return m_inForce.publishId;
}

bool ConfigurationFollower::isLogGenerationKnown() const
{
    return m_logGenerationKnown;
}

const std::deque<PublicationStatus> &ConfigurationFollower::publications() const
{
    return m_publications;
}

std::optional<ConfigurationFollower::AcceptedConfiguration>
ConfigurationFollower::validated(const AcceptedConfiguration &version, std::string &problem) const
{
    auto result = version;
    result.configuration = state::handleFailure(
        [&] {
            return m_checker->check(version.document);
        },
        [&](const state::Failure &failure) {
            problem = failure.detail;
            return std::shared_ptr<const state::Configuration>();
        });
    return result.configuration ? std::optional(result) : std::nullopt;
}

} // namespace sapphirecove::coordination
