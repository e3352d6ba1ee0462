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

/** Requests accepted and not answered, and the sum of their bodies. Belongs to the data thread. */
class RequestTable
{
public:
    /** @p idPrefix is "host.incarnation". */
    RequestTable(const DataContext &context, std::string idPrefix);

    /** Returns a new request with its id set. */
    std::shared_ptr<ActiveRequest> add();

    /** Ends a request. */
    void remove(const ActiveRequest &request);

    /** Passes a decision on; a Dispatch of an unknown request is reported as refused, so that its grant returns. */
    void apply(coordination::Dispatch dispatch);
    void apply(coordination::Refuse refuse);
    void apply(const coordination::CancelDispatch &cancel);

    /** Calls @p onIdle as soon as no request is left; null withdraws an earlier function. */
    void whenIdle(std::function<void()> onIdle);

    /** Number of requests. */
    std::size_t size() const
    {
        return m_requests.size();
    }

    /** Bytes of bodies held or announced; maintained by the connections. */
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
