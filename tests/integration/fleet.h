#pragma once

#include "tests/integration/chatcall.h"
#include "tests/integration/standin.h"

#include <atomic>
#include <memory>
#include <span>

namespace sapphirecove::integration {

/** Size and behaviour of a fleet and of the stand-ins for its external systems. */
struct FleetOptions
{
    std::size_t hosts = 3;
    std::size_t engines = 3;
    std::size_t services = 2;
    boost::json::object engineOptions = { { "prefill_tokens_per_second", 40000 }, { "decode_tokens_per_second", 200 } };
    boost::json::object serviceOptions = { { "latency_ms", 5 } };
    boost::json::object logOptions = {};
    int hostListLagMs = 100;
    int drainTimeoutS = 60;
};

/** Bearer key of the customer that all tests use. */
inline const std::string CustomerKey = "key-of-osu-events";
inline const std::string ModelName = "layout-llm";
inline const std::string ServicePool = "orders-app";

/** Hosts with stand-ins for the external systems that they need; the destructor ends all started processes. */
class Fleet
{
public:
    /** Starts the stand-ins and writes settings and configuration; starts no host. */
    explicit Fleet(FleetOptions options = {});

    /** Starts all hosts, publishes the configuration and waits until all are ready; throws otherwise. */
    void start();
    /** Starts or restarts host @p index; a process that still runs is killed first. */
    void startHost(std::size_t index);
    Process &host(std::size_t index)
    {
        return *m_hosts.at(index);
    }
    std::size_t size() const
    {
        return m_hosts.size();
    }
    std::uint16_t callersPort(std::size_t index) const
    {
        return m_hostPorts.at(3 * index);
    }
    /** Ports of the listeners for callers, for operators and for other hosts. */
    std::span<const std::uint16_t> ports(std::size_t index) const
    {
        return std::span(m_hostPorts).subspan(3 * index, 3);
    }
    bool isReady(std::size_t index) const;
    bool waitReady(std::size_t index) const;

    /** Runs `sapphirecove config publish` on @p folder, relative to the fleet's temporary folder. */
    CommandResult publish(const std::string &folder = "config");
    /** Runs `sapphirecove ARGUMENTS... --settings` with the settings of host 0. */
    CommandResult run(std::vector<std::string> arguments);
    /** Sends a GET request for @p target to the operators' port of host @p index. */
    HttpResponse callOperators(std::size_t index, const std::string &target) const;

    /** Sets the state of host or target @p id in the host list; @p section is `hosts` or `targets`. */
    void setListedState(const std::string &section, const std::string &id, const std::string &state) const;
    std::string hostId(std::size_t index) const;
    std::string engineId(std::size_t index) const;

    ChatCall chatCall(std::size_t host, const std::string &prompt, int maxTokens = 16) const;
    HttpCall serviceCall(std::size_t host, const std::string &method, const std::string &path) const;

    TempFolder &folder()
    {
        return m_folder;
    }
    Standin &engines()
    {
        return *m_engines;
    }
    Standin &services()
    {
        return *m_services;
    }
    Standin &log() const
    {
        return *m_log;
    }
    /** Path of the folder with the valid configuration files. */
    std::string configFolder() const
    {
        return (m_folder / "config").string();
    }
    /** End of each host's standard error output, for the message of a failed check. */
    std::string hostErrors() const;

private:
    void writeSettings(std::size_t index) const;
    void writeConfiguration() const;
    boost::json::value hostEntries() const;

    FleetOptions m_options;
    TempFolder m_folder;
    std::vector<std::uint16_t> m_hostPorts; // three for each host: callers, operators, peers
    std::unique_ptr<Standin> m_engines;
    std::unique_ptr<Standin> m_services;
    std::unique_ptr<Standin> m_log;
    std::unique_ptr<Standin> m_hostList;
    std::vector<std::unique_ptr<Process>> m_hosts;
    std::atomic<int> m_commands = 0;
};

} // namespace sapphirecove::integration
