#include "transport/syncclient.h"

#include "transport/httpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Sends @p call on a connection of its own. */
state::Result<SyncResponse> sendAndWait(const protocol::Endpoint &endpoint, HttpCall call, state::Duration timeout)
{
    asio::io_context context;
    HttpClient client(context.get_executor(), endpoint, SyncClient::MaxResponseBytes);
    HttpOutcome outcome;
    asio::co_spawn(
        context, client.send(std::move(call), timeout), [&](const std::exception_ptr &exception, HttpOutcome result) {
            if (exception) {
                std::rethrow_exception(exception);
            }
            outcome = std::move(result);
        });
    context.run();
    if (outcome.failure && outcome.failure->step == HttpClient::ConnectStep) {
        return state::fail(ConnectStep, outcome.failure->peer, outcome.failure->detail);
    }
    if (outcome.failure) {
        return state::fail(ExchangeStep, outcome.failure->peer, outcome.failure->step + ": " + outcome.failure->detail);
    }
    return SyncResponse{ outcome.status, std::move(outcome.body) };
}

} // namespace

SyncClient::SyncClient(protocol::Endpoint endpoint, std::string bearerKey)
    : m_endpoint(std::move(endpoint))
    , m_bearerKey(std::move(bearerKey))
{
}

state::Result<SyncResponse> SyncClient::fetch(std::string_view path, state::Duration timeout) const
{
    HttpCall call;
    call.path = path;
    call.bearerKey = m_bearerKey;
    return sendAndWait(m_endpoint, std::move(call), timeout);
}

state::Result<SyncResponse>
SyncClient::post(std::string_view path, std::string_view body, state::Duration timeout) const
{
    HttpCall call;
    call.method = http::verb::post;
    call.path = path;
    call.body = body;
    call.bearerKey = m_bearerKey;
    return sendAndWait(m_endpoint, std::move(call), timeout);
}

} // namespace sapphirecove::transport
