#include "standins/commands.h"
#include "standins/httpserver.h"
#include "standins/options.h"

#include <deque>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace sapphirecove::standins {

namespace json = boost::json;

namespace {

/** Behaviour of the host list; `POST /standin/options` changes it at run time. */
struct HostsOptions
{
    int lagMs = 500; /**< delay after which a change becomes visible */
    bool outage = false; /**< every call of /v1/hosts gets status 503 */
};

template <typename Visitor>
void visit(HostsOptions &options, Visitor &&visitor)
{
    visitor("lag_ms", options.lagMs);
    visitor("outage", options.outage);
}

/** List of hosts and targets of section 4.3 of docs/design.md; each change becomes visible after a delay. */
class HostList
{
public:
    HostList(boost::asio::io_context &context, std::uint16_t port, HostsOptions options, json::value entries)
        : m_options(options)
        , m_server(context, port, [this](const Connection &connection) {
            handle(connection);
        })
    {
        m_snapshots.push_back({ 0, std::move(entries) });
    }

    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    using Connection = std::shared_ptr<HttpConnection>;

    struct Snapshot
    {
        std::int64_t changedUs = 0;
        json::value entries;
    };

    void handle(const Connection &connection)
    {
        const auto &request = connection->request();
        const auto target = parseTarget({ request.target().data(), request.target().size() });
        if (target.path == "/v1/hosts") {
            if (m_options.outage) {
                connection->reply(503, { { "error", "outage" } });
            } else {
                connection->reply(200, visibleEntries());
            }
        } else if (target.path == "/standin/options") {
            const auto problem = applyJson(m_options, parseOrNull(request.body()));
            connection->reply(problem.empty() ? 200 : 400, { { "problem", problem } });
        } else if (target.path == "/standin/hosts" && request.method() == http::verb::put) {
            replaceAll(connection);
        } else if (target.path.starts_with("/standin/hosts/")) {
            changeEntry(connection, "hosts", target.path.substr(sizeof("/standin/hosts/") - 1));
        } else if (target.path.starts_with("/standin/targets/")) {
            changeEntry(connection, "targets", target.path.substr(sizeof("/standin/targets/") - 1));
        } else {
            connection->reply(404, { { "error", "no such path" } });
        }
    }

    json::value visibleEntries()
    {
        const std::int64_t newestUs = wallClockUs() - std::int64_t{ m_options.lagMs } * 1000;
        while (m_snapshots.size() > 1 && m_snapshots[1].changedUs <= newestUs) {
            m_snapshots.pop_front();
        }
        return m_snapshots.front().entries;
    }

    void replaceAll(const Connection &connection)
    {
        auto entries = parseOrNull(connection->request().body());
        if (!entries.is_object() || !entries.get_object().contains("hosts")
            || !entries.get_object().contains("targets")) {
            connection->reply(400, { { "error", "expected hosts and targets" } });
            return;
        }
        m_snapshots.push_back({ wallClockUs(), std::move(entries) });
        connection->reply(200, { { "changed", true } });
    }

    /** POST sets the given fields of one entry, adding the entry if it does not exist; DELETE removes the entry. */
    void changeEntry(const Connection &connection, const char *section, const std::string &id)
    {
        auto entries = m_snapshots.back().entries;
        auto &list = entries.as_object()[section].as_array();
        auto *found = std::find_if(list.begin(), list.end(), [&](const json::value &entry) {
            return entry.at("id").as_string() == id;
        });
        if (connection->request().method() == http::verb::delete_) {
            if (found != list.end()) {
                list.erase(found);
            }
        } else {
            const auto fields = parseOrNull(connection->request().body());
            if (!fields.is_object()) {
                connection->reply(400, { { "error", "expected an object" } });
                return;
            }
            if (found == list.end()) {
                list.push_back({ { "id", id }, { "state", "live" } });
                found = list.end() - 1;
            }
            for (const auto &field : fields.get_object()) {
                found->as_object()[field.key()] = field.value();
            }
        }
        m_snapshots.push_back({ wallClockUs(), std::move(entries) });
        connection->reply(200, { { "changed", true } });
    }

    HostsOptions m_options;
    std::deque<Snapshot> m_snapshots; // oldest first; the first one is the visible one
    HttpServer m_server;
};

struct HostsArguments
{
    std::uint16_t port = 0;
    std::string file;
    std::string options = "{}";
};

void runHosts(const HostsArguments &arguments)
{
    HostsOptions options;
    if (auto problem = applyJson(options, parseOrNull(arguments.options)); !problem.empty()) {
        throw std::invalid_argument("--options: " + problem);
    }
    json::value entries{ { "hosts", json::array() }, { "targets", json::array() } };
    if (!arguments.file.empty()) {
        std::ostringstream text;
        text << std::ifstream(arguments.file).rdbuf();
        entries = parseOrNull(text.str());
        if (!entries.is_object() || !entries.get_object().contains("hosts")
            || !entries.get_object().contains("targets")) {
            throw std::invalid_argument("--file: expected a JSON object with hosts and targets");
        }
    }
    boost::asio::io_context context(1);
    const HostList list(context, arguments.port, options, std::move(entries));
    printPort(list.port());
    runUntilStopped(context);
}

} // namespace

void addHostsCommand(CLI::App &app)
{
    auto *command = app.add_subcommand("hosts", "List of live and leaving hosts and targets.");
    auto arguments = std::make_shared<HostsArguments>();
    command->add_option("--port", arguments->port, "Port; 0 picks a free one.");
    command->add_option("--file", arguments->file, "JSON file with the first entries.");
    command->add_option("--options", arguments->options, "Options as JSON, as POST /standin/options takes them.");
    command->callback([arguments] {
        runHosts(*arguments);
    });
}

} // namespace sapphirecove::standins
