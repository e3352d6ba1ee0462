#include "coordination/entry/evacuations.h"

#include "coordination/entry/shorthash.h"

#include <algorithm>

namespace sapphirecove::coordination::entry {

namespace {

/** Most domains that are remembered and sent in one datagram; more than a fleet has. */
constexpr std::size_t MaxDomains = 64;

} // namespace

bool Evacuations::recorded(std::string_view domain, bool evacuated, TopicPosition position)
{
    const std::uint32_t before = m_digest;
    const bool remembered = update(domain, { evacuated, position }, false);
    m_urgent = m_urgent || before != m_digest;
    return remembered;
}

void Evacuations::endOthers(const std::set<std::string, std::less<>> &domains, TopicPosition position)
{
    std::vector<std::string> ended;
    for (const auto &[domain, item] : m_domains) {
        // A copy of the store may lack orders of an earlier era, which are written again.
        const bool sameEra = item.position.era == position.era;
        if (item.evacuated && sameEra && !domains.contains(domain)) {
            ended.push_back(domain);
        }
    }
    for (const auto &domain : ended) {
        recorded(domain, false, position);
    }
}

void Evacuations::merge(std::span<const EvacuationShare> shares)
{
    for (const EvacuationShare &share : shares) {
        update(share.domain, { share.evacuated, { share.era, share.offset } }, true);
    }
}

std::vector<EvacuationShare> Evacuations::shares() const
{
    std::vector<EvacuationShare> result;
    result.reserve(m_domains.size());
    for (const auto &[domain, item] : m_domains) {
        result.push_back({ domain, item.evacuated, item.position.era, item.position.offset });
    }
    return result;
}

bool Evacuations::evacuatedAt(std::string_view domain) const
{
    const auto found = m_domains.find(domain);
    return found != m_domains.end() && found->second.evacuated;
}

/** Takes @p item over if it is newer than what is known; returns false if there is no room for it. */
bool Evacuations::update(std::string_view domain, Item item, bool fromPeer)
{
    const auto found = m_domains.find(domain);
    if (found == m_domains.end() && m_domains.size() >= MaxDomains && !makeRoom()) {
        return false;
    }
    const bool wasEvacuated = found != m_domains.end() && found->second.evacuated;
    if (found != m_domains.end()) {
        const Item &known = found->second;
        // Two hosts that read at the same position may have seen a record between two pages; the stricter one holds.
        const bool isNewer = known.position < item.position || (item.position == known.position && item.evacuated);
        if (!isNewer) {
            return true;
        }
    }
    m_domains.insert_or_assign(std::string(domain), item);
    updateDigest();
    if (item.evacuated == wasEvacuated) {
        return true;
    }
    if (item.evacuated) {
        ++m_evacuated;
        ++m_begun;
    } else {
        --m_evacuated;
    }
    m_changes.push_back({ std::string(domain), item.evacuated, fromPeer, item.position });
    return true;
}

/** Forgets the oldest evacuation that has ended; returns false if there is none. */
bool Evacuations::makeRoom()
{
    auto oldest = m_domains.end();
    for (auto entry = m_domains.begin(); entry != m_domains.end(); ++entry) {
        const bool isOlder = oldest == m_domains.end() || entry->second.position < oldest->second.position;
        oldest = !entry->second.evacuated && isOlder ? entry : oldest;
    }
    if (oldest == m_domains.end()) {
        return false;
    }
    m_domains.erase(oldest);
    return true;
}

void Evacuations::updateDigest()
{
    m_digest = 0;
    for (const auto &[domain, item] : m_domains) {
        m_digest ^= shortHash(domain + '/' + std::to_string(item.position.era) + '/'
                              + std::to_string(item.position.offset) + (item.evacuated ? "/+" : "/-"));
    }
}

} // namespace sapphirecove::coordination::entry
