#include "coordination/granttable.h"

namespace sapphirecove::coordination {

void GrantTable::add(GrantRecord record)
{
    const state::GrantId id = record.id;
    m_byRequest.try_emplace(record.request, id);
    m_byExpiry.emplace(record.expires, id);
    m_grants.emplace(id, std::move(record));
}

const GrantRecord *GrantTable::find(state::GrantId id) const
{
    const auto position = m_grants.find(id);
    return position == m_grants.end() ? nullptr : &position->second;
}

const GrantRecord *GrantTable::findRequest(const state::RequestId &request) const
{
    const auto position = m_byRequest.find(request);
    return position == m_byRequest.end() ? nullptr : find(position->second);
}

void GrantTable::setDispatched(state::GrantId id)
{
    const auto position = m_grants.find(id);
    if (position != m_grants.end()) {
        position->second.dispatched = true;
        setExpiry(id, Never);
    }
}

void GrantTable::setExpiry(state::GrantId id, state::Time expires)
{
    const auto position = m_grants.find(id);
    if (position == m_grants.end()) {
        return;
    }
    m_byExpiry.erase({ position->second.expires, id });
    position->second.expires = expires;
    m_byExpiry.emplace(expires, id);
}

std::optional<GrantRecord> GrantTable::remove(state::GrantId id)
{
    const auto position = m_grants.find(id);
    if (position == m_grants.end()) {
        return std::nullopt;
    }
    GrantRecord record = std::move(position->second);
    m_grants.erase(position);
    m_byExpiry.erase({ record.expires, id });
    const auto request = m_byRequest.find(record.request);
    if (request != m_byRequest.end() && request->second == id) {
        m_byRequest.erase(request);
    }
    return record;
}

std::optional<state::GrantId> GrantTable::firstExpired(state::Time now) const
{
    if (m_byExpiry.empty() || m_byExpiry.begin()->first > now) {
        return std::nullopt;
    }
    return m_byExpiry.begin()->second;
}

std::vector<state::GrantId> GrantTable::ofHost(const state::HostId &host) const
{
    std::vector<state::GrantId> ids;
    for (const auto &[id, record] : m_grants) {
        if (record.host == host) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::size_t GrantTable::size() const
{
    return m_grants.size();
}

void GrantTable::clear()
{
    m_grants.clear();
    m_byRequest.clear();
    m_byExpiry.clear();
}

} // namespace sapphirecove::coordination
