#include "standins/commands.h"
#include "standins/httpserver.h"
#include "standins/proxyroute.h"

#include <charconv>
#include <stdexcept>

namespace sapphirecove::standins {

namespace json = boost::json;

namespace {

/** Fault-injecting TCP proxy with any number of routes and one HTTP control port. */
class Proxy
{
public:
    Proxy(boost::asio::io_context &context, std::uint16_t controlPort)
        : m_context(context)
        , m_control(context, controlPort, [this](const Connection &connection) {
            handle(connection);
        })
    {
    }

    std::uint16_t controlPort() const
    {
        return m_control.port();
    }

    /** Adds a route `NAME=PORT=ADDRESS:PORT`; port 0 picks a free one. Returns the port that the route listens on. */
    std::uint16_t addRoute(const std::string &text)
    {
        const auto first = text.find('=');
        const auto second = text.find('=', first + 1);
        const auto colon = text.rfind(':');
        if (first == std::string::npos || second == std::string::npos || colon == std::string::npos || colon < second) {
            throw std::invalid_argument("--route: expected NAME=PORT=ADDRESS:PORT");
        }
        const auto address = boost::asio::ip::make_address(text.substr(second + 1, colon - second - 1));
        auto route = std::make_unique<ProxyRoute>(m_context,
                                                  portFrom(text.substr(first + 1, second - first - 1)),
                                                  ProxyRoute::Endpoint(address, portFrom(text.substr(colon + 1))));
        const auto port = route->port();
        m_routes[text.substr(0, first)] = std::move(route);
        return port;
    }

private:
    using Connection = std::shared_ptr<HttpConnection>;

    static std::uint16_t portFrom(const std::string &text)
    {
        std::uint16_t port = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), port);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
            throw std::invalid_argument("--route: invalid port number: " + text);
        }
        return port;
    }

    void handle(const Connection &connection)
    {
        const auto target =
            parseTarget({ connection->request().target().data(), connection->request().target().size() });
        const std::string prefix = "/standin/routes/";
        if (target.path == "/standin/records") {
            connection->reply(200, records());
            return;
        }
        if (!target.path.starts_with(prefix)) {
            connection->reply(404, { { "error", "no such path" } });
            return;
        }
        std::string name = target.path.substr(prefix.size());
        const bool closesConnections = name.ends_with("/cut");
        name = closesConnections ? name.substr(0, name.size() - 4) : name;
        const auto found = m_routes.find(name);
        if (found == m_routes.end()) {
            connection->reply(404, { { "error", "no such route" } });
            return;
        }
        if (closesConnections) {
            found->second->closeConnections();
            connection->reply(200, { { "cut", true } });
            return;
        }
        RouteFaults faults = found->second->faults();
        const auto problem = applyJson(faults, parseOrNull(connection->request().body()));
        if (problem.empty()) {
            found->second->setFaults(faults);
        }
        connection->reply(problem.empty() ? 200 : 400, { { "problem", problem } });
    }

    json::value records() const
    {
        json::object routes;
        for (const auto &[name, route] : m_routes) {
            routes[name] = { { "port", route->port() },
                             { "bytes", route->bytes() },
                             { "connections", route->connections() } };
        }
        return { { "routes", std::move(routes) } };
    }

    boost::asio::io_context &m_context;
    std::map<std::string, std::unique_ptr<ProxyRoute>> m_routes;
    HttpServer m_control;
};

struct ProxyArguments
{
    std::uint16_t port = 0;
    std::vector<std::string> routes;
};

void runProxy(const ProxyArguments &arguments)
{
    boost::asio::io_context context(1);
    Proxy proxy(context, arguments.port);
    std::vector<std::uint16_t> ports{ proxy.controlPort() };
    for (const auto &route : arguments.routes) {
        ports.push_back(proxy.addRoute(route));
    }
    for (const auto port : ports) {
        printPort(port);
    }
    runUntilStopped(context);
}

} // namespace

void addProxyCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("proxy", "TCP proxy that injects faults; prints its control port first.");
    auto arguments = std::make_shared<ProxyArguments>();
    command->add_option("--port", arguments->port, "Control port; 0 picks a free one.");
    command->add_option("--route", arguments->routes, "Routes NAME=PORT=ADDRESS:PORT; port 0 picks a free one.")
        ->take_all();
    command->callback([arguments] {
        runProxy(*arguments);
    });
}

} // namespace sapphirecove::standins
