#pragma once

#include "coordination/action.h"
#include "state/identifiers.h"
#include "transport/data/activerequest.h"
#include "transport/data/datacontext.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace sapphirecove::transport {

/** Accepted requests that are being served, and the total size of their bodies. Used by the data thread only. */
class RequestTable
{
public:
    /** @p idPrefix is "host.incarnation". */
    RequestTable(const DataContext &context, std::string idPrefix);

    /** Returns a new request with its id set. */
    std::shared_ptr<ActiveRequest> add();

    /** Removes a request that is no longer served. */
    void remove(const ActiveRequest &request);

    /**
     * Hands a decision to its request. A Dispatch whose request is unknown or whose caller has disconnected is reported
     * as refused, so that its grant is released.
     */
    void apply(coordination::Dispatch dispatch);
    void apply(coordination::Refuse refuse);
    void apply(const coordination::CancelDispatch &cancel);

    /** Calls @p onIdle as soon as the table is empty; null removes an earlier callback. */
    void whenIdle(std::function<void()> onIdle);

    /** Number of requests. */
    std::size_t size() const
    {
        return m_requests.size();
    }

    /** Total size of the bodies of all requests in bytes; updated by the connections. */
    std::int64_t bodyBytes = 0;

private:
    std::shared_ptr<ActiveRequest> find(const state::RequestId &id) const;

    const DataContext &m_context;
    std::string m_idPrefix;
    std::uint64_t m_lastNumber = 0;
    std::unordered_map<state::RequestId, std::shared_ptr<ActiveRequest>> m_requests;
    std::function<void()> m_onIdle;
};

} // namespace sapphirecove::transport
