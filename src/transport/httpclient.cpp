#include "transport/httpclient.h"

#include "transport/beaststring.h"
#include "transport/responsereader.h"
#include "transport/sockets.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;

HttpClient::HttpClient(const asio::any_io_executor &executor, Endpoint endpoint, std::uint64_t maxResponseBytes)
    : m_endpoint(std::move(endpoint))
    , m_maxResponseBytes(maxResponseBytes)
    , m_socket(executor)
    , m_watchdog(executor, [this] {
        close();
    })
{
}

asio::awaitable<HttpOutcome> HttpClient::send(HttpCall call, state::Duration timeout)
{
    m_watchdog.arm(timeout);
    HttpOutcome outcome = co_await attempt(std::move(call));
    m_watchdog.disarm();
    if (outcome.failure && m_watchdog.expired()) {
        outcome.failure->detail = "timed out";
    }
    co_return outcome;
}

void HttpClient::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_buffer.clear();
}

asio::awaitable<HttpOutcome> HttpClient::attempt(HttpCall call)
{
    boost::system::error_code error = co_await ensureConnected();
    if (error) {
        co_return closeAndFail(ConnectStep, error);
    }
    http::request<http::string_body> request(call.method, call.path, 11, std::move(call.body));
    request.set(http::field::host, toString(m_endpoint));
    request.set(http::field::content_type, "application/json");
    if (!call.bearerKey.empty()) {
        request.set(http::field::authorization, "Bearer " + call.bearerKey);
    }
    request.prepare_payload();
    co_await http::async_write(m_socket, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return closeAndFail("send", error);
    }
    const bool withoutBody = call.method == http::verb::head;
    ResponseLimits limits;
    limits.bodyBytes = m_maxResponseBytes;
    ResponseReader response(
        m_socket, m_buffer, std::make_shared<RequestWrite>(RequestWrite{ true, {} }), withoutBody, limits);
    HttpOutcome outcome;
    error = co_await response.readHeader();
    if (!error) {
        error = co_await response.readWholeBody(outcome.body);
    }
    if (error) {
        co_return closeAndFail("receive", error);
    }
    if (!response.keepsConnection()) {
        close();
    }
    const ResponseReader::Header &header = response.header();
    outcome.status = static_cast<int>(header.result_int());
    const auto field = call.responseField.empty() ? header.end() : header.find(toBeast(call.responseField));
    if (field != header.end()) {
        outcome.field = std::string(toView(field->value()));
    }
    co_return outcome;
}

asio::awaitable<boost::system::error_code> HttpClient::ensureConnected()
{
    if (isIdleAndOpen(m_socket)) {
        co_return boost::system::error_code();
    }
    close();
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(m_endpoint.address, error);
    if (error) {
        co_return error;
    }
    const asio::ip::tcp::endpoint endpoint(ip, m_endpoint.port);
    co_await m_socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        boost::system::error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    co_return error;
}

HttpOutcome HttpClient::closeAndFail(const char *step, const boost::system::error_code &error)
{
    close();
    return HttpOutcome{ state::Failure{ step, toString(m_endpoint), error.message() }, 0, {}, {} };
}

} // namespace sapphirecove::transport
