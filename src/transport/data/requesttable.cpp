#include "transport/data/requesttable.h"

#include <utility>

namespace sapphirecove::transport {

RequestTable::RequestTable(const DataContext &context, std::string idPrefix)
    : m_context(context)
    , m_idPrefix(std::move(idPrefix))
{
}

std::shared_ptr<ActiveRequest> RequestTable::add()
{
    auto request = std::make_shared<ActiveRequest>(m_context.executor);
    request->info.id = m_idPrefix + '.' + std::to_string(++m_lastNumber);
    m_requests.emplace(request->info.id, request);
    return request;
}

void RequestTable::remove(const ActiveRequest &request)
{
    m_requests.erase(request.info.id);
    if (m_requests.empty() && m_onIdle) {
        std::exchange(m_onIdle, nullptr)();
    }
}

void RequestTable::apply(coordination::Dispatch dispatch)
{
    const auto request = find(dispatch.request);
    if (!request || request->callerDisconnected) {
        m_context.send(coordination::DispatchRefused{ dispatch.request, dispatch.grant, "the caller has gone" });
        return;
    }
    request->dispatch = std::move(dispatch);
    request->notifyChange();
}

void RequestTable::apply(coordination::Refuse refuse)
{
    const auto request = find(refuse.request);
    if (!request) {
        return;
    }
    // A response that has started is delivered even if it is late; the CancelDispatch that follows is ignored as well.
    request->refusalIgnored = request->responseStarted;
    if (!request->responseStarted) {
        request->refusal = std::move(refuse.refusal);
        request->notifyChange();
    }
}

void RequestTable::apply(const coordination::CancelDispatch &cancel)
{
    const auto request = find(cancel.request);
    if (!request || (request->refusalIgnored && !request->callerDisconnected)) {
        return;
    }
    request->cancelled = true;
    request->notifyChange();
}

void RequestTable::whenIdle(std::function<void()> onIdle)
{
    if (onIdle && m_requests.empty()) {
        onIdle();
        return;
    }
    m_onIdle = std::move(onIdle);
}

std::shared_ptr<ActiveRequest> RequestTable::find(const state::RequestId &id) const
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second;
}

} // namespace sapphirecove::transport
