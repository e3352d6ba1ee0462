#include "standins/completions.h"
#include "standins/httpserver.h"
#include "standins/options.h"
#include "standins/register.h"
#include "standins/requestlog.h"

#include <boost/asio/steady_timer.hpp>

#include <random>
#include <stdexcept>

namespace sapphirecove::standins {

namespace {

/** Behaviour of one plain service; `POST /standin/options` changes it at run time. */
struct ServiceOptions
{
    double latencyMs = 20;
    double errorRate = 0; /**< share of calls answered with status 500, after they took effect */
    double lostAnswerRate = 0; /**< share of calls that take effect and get no answer */
    std::string pathPrefix; /**< the two rates apply to paths that start with this */
    std::uint64_t seed = 1;
};

template <typename Visitor>
void visit(ServiceOptions &options, Visitor &&visitor)
{
    visitor("latency_ms", options.latencyMs);
    visitor("error_rate", options.errorRate);
    visitor("lost_answer_rate", options.lostAnswerRate);
    visitor("path_prefix", options.pathPrefix);
    visitor("seed", options.seed);
}

/** Plain service that echoes what it received and counts its calls. */
class Service
{
public:
    Service(boost::asio::io_context &context, std::uint16_t port, ServiceOptions options)
        : m_context(context)
        , m_options(std::move(options))
        , m_random(m_options.seed)
        , m_server(context, port, [this](const Connection &connection) {
            handle(connection);
        })
    {
    }

    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    using Connection = std::shared_ptr<HttpConnection>;

    void handle(const Connection &connection)
    {
        const auto target =
            parseTarget({ connection->request().target().data(), connection->request().target().size() });
        if (target.path == "/standin/records") {
            connection->reply(200, m_log.toJson(target.number("from", 0)));
        } else if (target.path == "/standin/options") {
            const auto problem = applyJson(m_options, parseOrNull(connection->request().body()));
            connection->reply(problem.empty() ? 200 : 400, { { "problem", problem } });
        } else {
            call(connection, target.path);
        }
    }

    void call(const Connection &connection, const std::string &path)
    {
        const auto record = m_log.add(connection->request());
        record->state = "running";
        const bool isAffected = path.starts_with(m_options.pathPrefix);
        const bool fails = isAffected && draw(m_options.errorRate);
        const bool isLost = isAffected && draw(m_options.lostAnswerRate);
        const std::int64_t counter = ++m_counter;
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
        timer->expires_after(std::chrono::microseconds(static_cast<std::int64_t>(m_options.latencyMs * 1000)));
        timer->async_wait([timer, connection, record, fails, isLost, counter](boost::system::error_code) {
            record->endedUs = wallClockUs();
            record->state = fails ? "failed" : "finished";
            record->status = fails ? 500 : 200;
            if (isLost) {
                connection->abort();
                return;
            }
            connection->reply(static_cast<unsigned>(record->status),
                              { { "method", record->method },
                                { "path", record->path },
                                { "body_hash", record->bodyHash },
                                { "request_id", record->requestId },
                                { "counter", counter } });
        });
    }

    bool draw(double rate)
    {
        return rate > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < rate;
    }

    boost::asio::io_context &m_context;
    ServiceOptions m_options;
    std::mt19937_64 m_random;
    RequestLog m_log;
    std::int64_t m_counter = 0;
    HttpServer m_server;
};

struct ServiceArguments
{
    std::uint16_t port = 0;
    int count = 1;
    std::string options = "{}";
};

void runServices(const ServiceArguments &arguments)
{
    ServiceOptions options;
    if (auto problem = applyJson(options, parseOrNull(arguments.options)); !problem.empty()) {
        throw std::invalid_argument("--options: " + problem);
    }
    boost::asio::io_context context(1);
    std::vector<std::unique_ptr<Service>> services;
    for (int index = 0; index < arguments.count; ++index) {
        const int port = arguments.port == 0 ? 0 : arguments.port + index;
        services.push_back(std::make_unique<Service>(context, static_cast<std::uint16_t>(port), options));
    }
    for (const auto &service : services) {
        announcePort(service->port());
    }
    runUntilStopped(context);
}

} // namespace

void addServiceCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("service", "Plain services that echo their calls.");
    auto arguments = std::make_shared<ServiceArguments>();
    command->add_option("--port", arguments->port, "Port of the first service; 0 picks free ports.");
    command->add_option("--count", arguments->count, "Number of services.")->check(CLI::Range(1, 200));
    command->add_option("--options", arguments->options, "Options as JSON, as POST /standin/options takes them.");
    command->callback([arguments] {
        runServices(*arguments);
    });
}

} // namespace sapphirecove::standins
