#pragma once

#include "state/time.h"
#include "transport/bytebudget.h"
#include "transport/listener.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace sapphirecove::transport {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** Limits of an HTTP server for other hosts or operators. */
struct HttpServerLimits
{
    std::size_t connections = 1024;
    std::uint32_t headerBytes = 16384;
    /** A batch of messages between hosts, 256 of some tens of kilobytes, is the largest body. */
    std::uint64_t bodyBytes = std::uint64_t{ 12 } * 1024 * 1024;
    /** That the requests of all connections may keep together; the largest one that is not whole is given up. */
    std::size_t memoryBytes = std::size_t{ 24 } * 1024 * 1024;
    state::Duration receiveTimeout = std::chrono::seconds(10); /**< for one whole request */
    state::Duration idleTimeout = std::chrono::seconds(60); /**< between two requests */
};

/** HTTP server for peers and operators, without streaming of bodies. It must outlive its io_context's thread. */
class HttpServer
{
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(const HttpRequest &)>;

    HttpServer(std::unique_ptr<Listener> listener, HttpServerLimits limits, Handler handler);

    /** Starts accepting connections. */
    void start();

    /** Port that the server listens on. */
    std::uint16_t port() const
    {
        return m_listener->port();
    }

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    std::unique_ptr<Listener> m_listener;
    HttpServerLimits m_limits;
    Handler m_handler;
    std::shared_ptr<std::size_t> m_connections = std::make_shared<std::size_t>(0);
    std::shared_ptr<ByteBudget> m_bytes;
};

/** Creates a response to @p request with a body. */
HttpResponse makeResponse(const HttpRequest &request,
                          boost::beast::http::status status,
                          std::string_view mediaType,
                          std::string body);

/** Returns the key after "Bearer " in the Authorization field, or an empty view. */
std::string_view bearerKey(const boost::beast::http::fields &fields);

/** Returns a field's value, or an empty view. */
std::string_view fieldValue(const boost::beast::http::fields &fields, std::string_view name);

} // namespace sapphirecove::transport
