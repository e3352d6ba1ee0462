#pragma once

#include "coordination/targetmodel.h"
#include "state/identifiers.h"
#include "state/time.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sapphirecove::coordination {

/** Outstanding grant, which occupies a slot. */
struct GrantRecord
{
    state::GrantId id = 0;
    state::RequestId request;
    state::HostId host;
    state::TargetId target;
    state::VersionName version;
    state::Time validUntil{}; /**< time by which the host must start the dispatch */
    state::Time expires{}; /**< time at which the slot is freed without a release */
    bool dispatched = false; /**< the host reported the dispatch */
    std::uint32_t maxOutputTokens = 0;
    PlannedWork work;
};

/** Outstanding grants of one arbiter, by id, by request and by the time at which they expire. */
class GrantTable
{
public:
    /** Expiry of a grant that ends only with a release or a report. */
    static constexpr state::Time Never = state::Time::max();

    /** Adds a grant; the id must be new. The first grant of a request is the one that findRequest() returns. */
    void add(GrantRecord record);

    /** Returns the grant with this id, or a null pointer. */
    const GrantRecord *find(state::GrantId id) const;

    /** Returns the grant of this request, or a null pointer. */
    const GrantRecord *findRequest(const state::RequestId &request) const;

    /** Marks the request as dispatched by the host; the grant no longer expires. */
    void setDispatched(state::GrantId id);

    /** Changes the time at which the slot is freed without a release. */
    void setExpiry(state::GrantId id, state::Time expires);

    /** Removes a grant. */
    std::optional<GrantRecord> remove(state::GrantId id);

    /** Returns the grant that expires first if it has expired by @p now. */
    std::optional<state::GrantId> firstExpired(state::Time now) const;

    /** Returns the ids of all grants of a host. */
    std::vector<state::GrantId> ofHost(const state::HostId &host) const;

    std::size_t size() const;

    void clear();

private:
    std::unordered_map<state::GrantId, GrantRecord> m_grants;
    std::unordered_map<state::RequestId, state::GrantId> m_byRequest;
    std::set<std::pair<state::Time, state::GrantId>> m_byExpiry;
};

} // namespace sapphirecove::coordination
