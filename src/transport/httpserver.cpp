#include "transport/httpserver.h"

#include "transport/beaststring.h"
#include "transport/boundedread.h"
#include "transport/countguard.h"
#include "transport/messageframing.h"
#include "transport/sockets.h"
#include "transport/watchdog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr std::string_view BearerScheme = "Bearer ";

} // namespace

HttpServer::HttpServer(std::unique_ptr<Listener> listener, HttpServerLimits limits, Handler handler)
    : m_listener(std::move(listener))
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_bytes(std::make_shared<ByteBudget>(limits.memoryBytes))
{
}

void HttpServer::start()
{
    m_listener->start([this](tcp::socket socket) {
        if (*m_connections >= m_limits.connections) {
            return;
        }
        const auto executor = socket.get_executor();
        asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
    });
}

asio::awaitable<void> HttpServer::serve(tcp::socket socket)
{
    const CountGuard guard(m_connections);
    beast::flat_buffer buffer;
    limitUnparsed(buffer, m_limits.headerBytes);
    Watchdog watchdog(socket.get_executor(), [&socket] {
        boost::system::error_code ignored;
        socket.close(ignored);
    });
    boost::system::error_code error;
    for (;;) {
        BoundedParser parser;
        ByteBudget::Share share(m_bytes, [&socket] {
            boost::system::error_code ignored;
            socket.close(ignored);
        });
        parser.header_limit(m_limits.headerBytes);
        parser.body_limit(m_limits.bodyBytes);
        if (buffer.size() == 0) {
            watchdog.arm(m_limits.idleTimeout);
            co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        }
        watchdog.arm(m_limits.receiveTimeout);
        error = co_await readHeader(socket, buffer, parser, share);
        if (!error) {
            error = co_await readRest(socket, buffer, parser, share);
        }
        if (error) {
            co_return;
        }
        shrinkIdle(buffer);
        share.resize(keptBytes(parser, buffer));
        share.complete();
        watchdog.disarm();
        const HttpRequest request = parser.release();
        if (!hasClearFraming(request)) {
            HttpResponse response = makeResponse(request, http::status::bad_request, "text/plain", "malformed");
            response.keep_alive(false);
            co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
            co_await lingeringClose(socket);
            co_return;
        }
        HttpResponse response = co_await m_handler(request);
        watchdog.arm(m_limits.receiveTimeout);
        co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !response.keep_alive()) {
            co_return;
        }
    }
}

HttpResponse makeResponse(const HttpRequest &request, http::status status, std::string_view mediaType, std::string body)
{
    HttpResponse response(status, request.version());
    response.set(http::field::content_type, beast::string_view(mediaType.data(), mediaType.size()));
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

std::string_view bearerKey(const http::fields &fields)
{
    const auto value = fieldValue(fields, "Authorization");
    if (value.size() <= BearerScheme.size() || !beast::iequals(value.substr(0, BearerScheme.size()), BearerScheme)) {
        return {};
    }
    return value.substr(BearerScheme.size());
}

std::string_view fieldValue(const http::fields &fields, std::string_view name)
{
    const auto found = fields.find(beast::string_view(name.data(), name.size()));
    return found == fields.end() ? std::string_view() : toView(found->value());
}

} // namespace sapphirecove::transport
