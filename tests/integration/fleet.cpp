#include "tests/integration/fleet.h"

#include "tests/integration/waitfor.h"

#include <openssl/sha.h>

#include <stdexcept>

namespace sapphirecove::integration {

namespace json = boost::json;

namespace {

constexpr auto ReadyTimeout = std::chrono::seconds(20);
constexpr std::size_t PortsPerHost = 3;
constexpr std::size_t MaxShownErrorBytes = 1500;
constexpr const char *HexDigits = "0123456789abcdef";
const char *const OperatorsKey = "key-of-operators";

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string sha256(const std::string &text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += HexDigits[byte >> 4U];
        hex += HexDigits[byte & 15U];
    }
    return hex;
}

std::string domainOf(std::size_t index)
{
    return index % 2 == 0 ? "accra-osu" : "accra-tema";
}

} // namespace

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
    , m_hostPorts(freePorts(PortsPerHost * m_options.hosts))
{
    m_engines = std::make_unique<Standin>(
        m_folder,
        "engine",
        std::vector<std::string>{
            "--count", std::to_string(m_options.engines), "--options", json::serialize(m_options.engineOptions) },
        m_options.engines);
    m_services = std::make_unique<Standin>(
        m_folder,
        "service",
        std::vector<std::string>{
            "--count", std::to_string(m_options.services), "--options", json::serialize(m_options.serviceOptions) },
        m_options.services);
    m_log = std::make_unique<Standin>(
        m_folder, "log", std::vector<std::string>{ "--options", json::serialize(m_options.logOptions) });
    m_folder.write("hosts.json", json::serialize(hostEntries()));
    m_hostList = std::make_unique<Standin>(
        m_folder,
        "hosts",
        std::vector<std::string>{ "--file",
                                  (m_folder / "hosts.json").string(),
                                  "--options",
                                  json::serialize(json::value{ { "lag_ms", m_options.hostListLagMs } }) });
    m_folder.write("operators.key", std::string(OperatorsKey) + "\n");
    m_folder.write("fleet.key", "key-of-the-fleet\n");
    m_hosts.resize(m_options.hosts);
    for (std::size_t index = 0; index < m_options.hosts; ++index) {
        writeSettings(index);
    }
    writeConfiguration();
}

json::value Fleet::hostEntries() const
{
    json::array hosts;
    for (std::size_t index = 0; index < m_options.hosts; ++index) {
        hosts.push_back({ { "id", hostId(index) },
                          { "address", "127.0.0.1" },
                          { "peer_port", m_hostPorts[PortsPerHost * index + 2] },
                          { "region", "accra" },
                          { "failure_domain", domainOf(index) },
                          { "state", "live" } });
    }
    json::array targets;
    for (std::size_t index = 0; index < m_options.engines; ++index) {
        targets.push_back({ { "id", engineId(index) }, { "state", "live" } });
    }
    for (std::size_t index = 0; index < m_options.services; ++index) {
        targets.push_back({ { "id", "orders-" + std::to_string(index + 1) }, { "state", "live" } });
    }
    return { { "hosts", std::move(hosts) }, { "targets", std::move(targets) } };
}

void Fleet::writeSettings(std::size_t index) const
{
    const auto *ports = &m_hostPorts[PortsPerHost * index];
    const json::value settings{
        { "host", { { "id", hostId(index) }, { "region", "accra" }, { "failure_domain", domainOf(index) } } },
        { "listen",
          { { "callers", address(ports[0]) }, { "operators", address(ports[1]) }, { "peers", address(ports[2]) } } },
        { "keys", { { "operators_file", "operators.key" }, { "fleet_file", "fleet.key" } } },
        { "platform",
          { { "log", address(m_log->port()) },
            { "host_list", address(m_hostList->port()) },
            { "host_list_poll_ms", 100 },
            { "load_poll_ms", 100 } } },
        { "seed", index + 1 },
        { "drain_timeout_s", m_options.drainTimeoutS },
    };
    m_folder.write(hostId(index) + ".json", json::serialize(settings));
}

void Fleet::writeConfiguration() const
{
    const json::value base{
        { "tiers",
          { { "urgent", { { "tier", 0 }, { "default_deadline_ms", 60000 } } },
            { "normal", { { "tier", 1 }, { "default_deadline_ms", 60000 } } } } },
        { "failure_domains",
          { { "accra-osu", { { "region", "accra" } } }, { "accra-tema", { { "region", "accra" } } } } },
        { "customers",
          { { "osu-events",
              { { "key_hashes", json::array{ sha256(CustomerKey) } },
                { "highest_tier", "urgent" },
                { "default_tier", "normal" } } } } },
    };
    const json::array routes{ json::object{ { "method", "POST" },
                                            { "path_prefix", "/print" },
                                            { "idempotent", false },
                                            { "require_key", true },
                                            { "tier", "urgent" } } };
    const json::value pools{
        { "pools",
          { { ModelName,
              { { "kind", "model" },
                { "model", ModelName },
                { "version", "v1" },
                { "capacity",
                  { { "streams", 8 },
                    { "prefill_tokens", 16384 },
                    { "prefill_tokens_per_second", 40000 },
                    { "decode_tokens_per_second", 200 } } } } },
            { ServicePool,
              { { "kind", "service" },
                { "version", "v1" },
                { "capacity", { { "streams", 4 }, { "service_time_ms", 5 } } },
                { "routes", routes } } } } },
    };
    json::object targets;
    for (std::size_t index = 0; index < m_options.engines; ++index) {
        targets[engineId(index)] = { { "pool", ModelName },
                                     { "address", "127.0.0.1" },
                                     { "port", m_engines->port(index) },
                                     { "failure_domain", domainOf(index) } };
    }
    for (std::size_t index = 0; index < m_options.services; ++index) {
        targets["orders-" + std::to_string(index + 1)] = { { "pool", ServicePool },
                                                           { "address", "127.0.0.1" },
                                                           { "port", m_services->port(index) },
                                                           { "failure_domain", domainOf(index) } };
    }
    m_folder.write("config/10-base.json", json::serialize(base));
    m_folder.write("config/20-pools.json", json::serialize(pools));
    m_folder.write("config/30-targets.json", json::serialize(json::value{ { "targets", std::move(targets) } }));
}

void Fleet::start()
{
    for (std::size_t index = 0; index < size(); ++index) {
        startHost(index);
    }
    const auto published = publish();
    if (published.exitCode != 0) {
        throw std::runtime_error("config publish exited with " + std::to_string(published.exitCode) + ": "
                                 + published.output + published.errors + hostErrors());
    }
    for (std::size_t index = 0; index < size(); ++index) {
        if (!waitReady(index)) {
            throw std::runtime_error(hostId(index) + " is not ready: " + hostErrors());
        }
    }
}

void Fleet::startHost(std::size_t index)
{
    m_hosts[index].reset();
    m_hosts[index] = std::make_unique<Process>(
        m_folder,
        hostId(index),
        std::vector<std::string>{
            programPath("sapphirecove"), "serve", "--settings", (m_folder / (hostId(index) + ".json")).string() });
}

bool Fleet::isReady(std::size_t index) const
{
    return call({ m_hostPorts[PortsPerHost * index + 1], "GET", "/readyz" }).status == 200;
}

bool Fleet::waitReady(std::size_t index) const
{
    return waitFor(
               [&] {
                   return isReady(index) || !m_hosts[index]->isRunning();
               },
               ReadyTimeout)
        && isReady(index);
}

CommandResult Fleet::publish(const std::string &folder)
{
    return run({ "config", "publish", (m_folder / folder).string(), "--operator", "tester", "--wait-s", "5" });
}

CommandResult Fleet::run(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), programPath("sapphirecove"));
    arguments.insert(arguments.end(), { "--settings", (m_folder / (hostId(0) + ".json")).string() });
    return runCommand(m_folder, "command-" + std::to_string(++m_commands), std::move(arguments));
}

HttpResponse Fleet::callOperators(std::size_t index, const std::string &target) const
{
    return call({ m_hostPorts[PortsPerHost * index + 1],
                  "GET",
                  target,
                  {},
                  { { "Authorization", std::string("Bearer ") + OperatorsKey } } });
}

void Fleet::setListedState(const std::string &section, const std::string &id, const std::string &state) const
{
    m_hostList->control("POST", "/standin/" + section + "/" + id, json::serialize(json::value{ { "state", state } }));
}

std::string Fleet::hostId(std::size_t index) const
{
    return "host-" + std::to_string(index + 1);
}

std::string Fleet::engineId(std::size_t index) const
{
    return "layout-" + std::to_string(index + 1);
}

ChatCall Fleet::chatCall(std::size_t host, const std::string &prompt, int maxTokens) const
{
    return { callersPort(host), CustomerKey, ModelName, prompt, maxTokens, true, {} };
}

HttpCall Fleet::serviceCall(std::size_t host, const std::string &method, const std::string &path) const
{
    return { callersPort(host),
             method,
             "/services/" + ServicePool + path,
             method == "GET" ? "" : "{}",
             { { "Authorization", "Bearer " + CustomerKey } } };
}

std::string Fleet::hostErrors() const
{
    std::string text;
    for (const auto &host : m_hosts) {
        if (host != nullptr) {
            const auto errors = host->errors();
            text += "\n--- " + host->name() + "\n"
                + errors.substr(errors.size() > MaxShownErrorBytes ? errors.size() - MaxShownErrorBytes : 0);
        }
    }
    return text;
}

} // namespace sapphirecove::integration
