#include "cli/commands.h"

#include "protocol/endpoint.h"
#include "transport/data/responsewriter.h"
#include "transport/data/targetconnection.h"
#include "transport/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <csignal>
#include <iostream>
#include <memory>
#include <string>
#include <utility>

namespace sapphirecove::cli {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

/** Size of the buffer for reading a response, as in the data thread of a host. */
constexpr std::size_t ChunkBytes = 16384;

constexpr state::Duration ConnectTimeout = std::chrono::seconds(1);
constexpr state::Duration ResponseHeadTimeout = std::chrono::seconds(300);

/** Forwards one request over a new connection to @p target; returns whether the complete response was sent. */
asio::awaitable<bool> forward(transport::TargetConnection::Request request,
                              const protocol::Endpoint &target,
                              transport::ResponseWriter &response)
{
    const auto executor = co_await asio::this_coro::executor;
    transport::TargetConnection connection(executor, ChunkBytes);
    const auto error = co_await connection.connect(target, ConnectTimeout);
    if (error) {
        co_return false;
    }
    request.keep_alive(false);
    const bool withoutBody = request.method() == http::verb::head;
    connection.send(std::move(request));
    const auto read = co_await connection.readHead(ResponseHeadTimeout, withoutBody);
    if (read != transport::TargetIoStatus::Ok) {
        co_return false;
    }
    transport::ResponseHead head;
    head.status = static_cast<int>(connection.head().result_int());
    head.fields = connection.head();
    head.length = connection.contentLength();
    response.begin(head);
    while (!connection.complete()) {
        const auto step = co_await connection.readBody();
        if (step != transport::TargetIoStatus::Ok) {
            co_return false;
        }
        co_await response.write(connection.chunk());
    }
    co_await response.finish({});
    co_return true;
}

asio::awaitable<void> serveConnection(tcp::socket socket, protocol::Endpoint target)
{
    boost::beast::flat_buffer buffer;
    bool keepOpen = true;
    while (keepOpen) {
        http::request_parser<http::string_body> parser;
        boost::system::error_code error;
        co_await http::async_read(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const bool headOnly = parser.get().method() == http::verb::head;
        transport::ResponseWriter response(socket, transport::ResponseOptions{ parser.get().keep_alive(), headOnly });
        const bool complete = co_await forward(parser.release(), target, response);
        keepOpen = complete && response.reusable();
    }
}

/** Baseline for benchmarks. Proxy without scheduling decisions, with the buffer sizes of a host. */
class Passthrough final : public Command
{
public:
    CLI::App *declare(CLI::App &root) override
    {
        CLI::App *command = root.add_subcommand("passthrough", "Forward every request to one target, for benchmarks");
        command->group(""); // hidden from the help text: it is not used in deployments
        command->add_option("--listen", m_listen, "ADDRESS:PORT to listen on")->required();
        command->add_option("--target", m_target, "ADDRESS:PORT to forward to")->required();
        return command;
    }

    ExitCode run() override
    {
        const auto listen = protocol::parseEndpoint(m_listen);
        const auto target = protocol::parseEndpoint(m_target);
        if (!listen || !target) {
            std::cerr << "sapphirecove: --listen and --target take ADDRESS:PORT\n";
            return ExitCode::Usage;
        }
        asio::io_context context(1);
        auto listener = state::handleFailure(
            [&] {
                return transport::Listener::create(context, listen->address, listen->port);
            },
            [](const state::Failure &failure) {
                std::cerr << "sapphirecove: " << describe(failure) << '\n';
                return std::unique_ptr<transport::Listener>();
            });
        if (!listener) {
            return ExitCode::Failed;
        }
        listener->start([&](tcp::socket socket) {
            asio::co_spawn(context, serveConnection(std::move(socket), *target), asio::detached);
        });
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](const boost::system::error_code &, int) {
            context.stop();
        });
        context.run();
        return ExitCode::Success;
    }

private:
    std::string m_listen;
    std::string m_target;
};

} // namespace

std::unique_ptr<Command> createPassthrough()
{
    return std::make_unique<Passthrough>();
}

} // namespace sapphirecove::cli
