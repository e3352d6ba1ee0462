#include "standins/commands.h"
#include "standins/httpserver.h"
#include "standins/options.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <stdexcept>
#include <vector>

namespace sapphirecove::standins {

namespace {

constexpr auto StepInterval = std::chrono::milliseconds(10);

/** Behaviour of the weight store; `POST /standin/options` changes it at run time. */
struct WeightsOptions
{
    double bytesPerSecond = 64.0 * 1024 * 1024; /**< of all downloads together */
    std::int64_t versionBytes = std::int64_t{ 16 } * 1024 * 1024; /**< size of each version */
    bool outage = false; /**< every download request gets status 503, and downloads in progress are aborted */
};

template <typename Visitor>
void visit(WeightsOptions &options, Visitor &&visitor)
{
    visitor("bytes_per_second", options.bytesPerSecond);
    visitor("version_bytes", options.versionBytes);
    visitor("outage", options.outage);
}

/** Weight store: serves `GET /v1/weights/{version}` at a limited rate that all downloads share equally. */
class WeightStore
{
public:
    WeightStore(boost::asio::io_context &context, std::uint16_t port, WeightsOptions options)
        : m_options(options)
        , m_timer(context)
        , m_server(context, port, [this](const Connection &connection) {
            handle(connection);
        })
    {
        schedule();
    }

    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    using Connection = std::shared_ptr<HttpConnection>;

    struct Download
    {
        Connection connection;
        std::int64_t remainingBytes = 0;
    };

    void handle(const Connection &connection)
    {
        const auto target =
            parseTarget({ connection->request().target().data(), connection->request().target().size() });
        if (target.path == "/standin/options") {
            const auto problem = applyJson(m_options, parseOrNull(connection->request().body()));
            connection->reply(problem.empty() ? 200 : 400, { { "problem", problem } });
        } else if (target.path == "/standin/records") {
            connection->reply(200, { { "started", m_started }, { "completed", m_completed }, { "bytes", m_bytes } });
        } else if (!target.path.starts_with("/v1/weights/")) {
            connection->reply(404, { { "error", "no such path" } });
        } else if (m_options.outage) {
            connection->reply(503, { { "error", "outage" } });
        } else {
            ++m_started;
            connection->beginChunks("application/octet-stream");
            m_downloads.push_back({ connection, m_options.versionBytes });
        }
    }

    void schedule()
    {
        m_timer.expires_after(StepInterval);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                step();
                schedule();
            }
        });
    }

    void step()
    {
        const double seconds = std::chrono::duration<double>(StepInterval).count();
        const double share =
            m_options.bytesPerSecond * seconds / static_cast<double>(std::max<std::size_t>(m_downloads.size(), 1));
        for (auto &download : m_downloads) {
            if (m_options.outage) {
                download.connection->abort();
                continue;
            }
            if (download.connection->pendingBytes() > 0) {
                continue;
            }
            const auto size =
                std::min(download.remainingBytes, std::max<std::int64_t>(static_cast<std::int64_t>(share), 1));
            download.connection->writeChunk(std::string(static_cast<std::size_t>(size), 'w'));
            download.remainingBytes -= size;
            m_bytes += size;
            if (download.remainingBytes == 0) {
                ++m_completed;
                download.connection->endChunks();
            }
        }
        std::erase_if(m_downloads, [](const Download &download) {
            return download.remainingBytes == 0 || !download.connection->isOpen();
        });
    }

    WeightsOptions m_options;
    std::vector<Download> m_downloads;
    std::int64_t m_started = 0;
    std::int64_t m_completed = 0;
    std::int64_t m_bytes = 0;
    boost::asio::steady_timer m_timer;
    HttpServer m_server;
};

struct WeightsArguments
{
    std::uint16_t port = 0;
    std::string options = "{}";
};

void runWeights(const WeightsArguments &arguments)
{
    WeightsOptions options;
    if (auto problem = applyJson(options, parseOrNull(arguments.options)); !problem.empty()) {
        throw std::invalid_argument("--options: " + problem);
    }
    boost::asio::io_context context(1);
    const WeightStore store(context, arguments.port, options);
    printPort(store.port());
    runUntilStopped(context);
}

} // namespace

void addWeightsCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("weights", "Rate-limited weight store.");
    auto arguments = std::make_shared<WeightsArguments>();
    command->add_option("--port", arguments->port, "Port; 0 picks a free one.");
    command->add_option("--options", arguments->options, "Options as JSON, as POST /standin/options takes them.");
    command->callback([arguments] {
        runWeights(*arguments);
    });
}

} // namespace sapphirecove::standins
