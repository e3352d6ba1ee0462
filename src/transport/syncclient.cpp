#include "transport/syncclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace sapphirecove::transport {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Request = http::request<http::string_body>;

/** One request on its own connection. Uses asynchronous calls, because only these support a timeout. */
class Exchange
{
public:
    Exchange(const protocol::Endpoint &endpoint, state::Duration timeout)
        : m_endpoint(endpoint)
        , m_stream(m_context)
    {
        m_stream.expires_after(timeout);
    }

    state::Result<SyncResponse> run(const Request &request)
    {
        auto connected = connect();
        if (!connected) {
            return connected.error();
        }
        beast::error_code error;
        http::async_write(m_stream, request, [&](beast::error_code result, std::size_t) {
            error = result;
        });
        runToCompletion();
        if (error) {
            return state::fail(ExchangeStep, toString(m_endpoint), "sending: " + error.message());
        }
        return readResponse();
    }

private:
    /** Runs the started operation to completion. */
    void runToCompletion()
    {
        m_context.restart();
        m_context.run();
    }

    state::Result<void> connect()
    {
        beast::error_code error;
        const auto address = asio::ip::make_address(m_endpoint.address, error);
        if (!error) {
            m_stream.async_connect(asio::ip::tcp::endpoint(address, m_endpoint.port), [&](beast::error_code result) {
                error = result;
            });
            runToCompletion();
        }
        if (error) {
            return state::fail(ConnectStep, toString(m_endpoint), error.message());
        }
        return {};
    }

    state::Result<SyncResponse> readResponse()
    {
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(SyncClient::MaxResponseBytes);
        beast::error_code error;
        http::async_read(m_stream, buffer, parser, [&](beast::error_code result, std::size_t) {
            error = result;
        });
        runToCompletion();
        if (error) {
            return state::fail(ExchangeStep, toString(m_endpoint), "receiving: " + error.message());
        }
        return SyncResponse{ static_cast<int>(parser.get().result_int()), std::move(parser.get().body()) };
    }

    const protocol::Endpoint &m_endpoint;
    asio::io_context m_context;
    beast::tcp_stream m_stream;
};

Request
makeRequest(http::verb verb, std::string_view path, const protocol::Endpoint &endpoint, const std::string &bearerKey)
{
    constexpr unsigned httpVersion = 11;
    Request request(verb, beast::string_view(path.data(), path.size()), httpVersion);
    request.set(http::field::host, toString(endpoint));
    request.set(http::field::connection, "close");
    if (!bearerKey.empty()) {
        request.set(http::field::authorization, "Bearer " + bearerKey);
    }
    return request;
}

} // namespace

SyncClient::SyncClient(protocol::Endpoint endpoint, std::string bearerKey)
    : m_endpoint(std::move(endpoint))
    , m_bearerKey(std::move(bearerKey))
{
}

state::Result<SyncResponse> SyncClient::fetch(std::string_view path, state::Duration timeout) const
{
    return Exchange(m_endpoint, timeout).run(makeRequest(http::verb::get, path, m_endpoint, m_bearerKey));
}

state::Result<SyncResponse>
SyncClient::post(std::string_view path, std::string_view body, state::Duration timeout) const
{
    Request request = makeRequest(http::verb::post, path, m_endpoint, m_bearerKey);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    return Exchange(m_endpoint, timeout).run(request);
}

} // namespace sapphirecove::transport
