#include "tests/integration/entryfleet.h"

#include "tests/integration/httpclient.h"

namespace sapphirecove::integration {

namespace {

/** Memory that the settings of a host allow, in bytes. */
constexpr std::size_t Memory = std::size_t{ 260 } * 1024 * 1024;

} // namespace

EntryFleet::EntryFleet(StoreStub &store, std::size_t hosts)
{
    for (std::size_t i = 0; i < hosts; ++i) {
        m_hosts.push_back({ { "host-" + std::to_string(i + 1), freePorts(3), store.port(), Memory }, 0, nullptr });
    }
}

void EntryFleet::start(std::size_t index)
{
    Host &host = m_hosts[index];
    host.settings.firstStart = host.starts == 0;
    const std::string file = host.settings.host + ".json";
    m_folder.write(file, encode(host.settings));
    host.process = std::make_unique<Process>(
        m_folder,
        host.settings.host + '-' + std::to_string(++host.starts),
        std::vector<std::string>{ programPath("sapphirecove"), "entry", "--settings", (m_folder / file).string() });
}

void EntryFleet::kill(std::size_t index)
{
    m_hosts[index].process->kill();
}

bool EntryFleet::isRunning(std::size_t index)
{
    return m_hosts[index].process && m_hosts[index].process->isRunning();
}

void EntryFleet::signal(std::size_t index, int number)
{
    m_hosts[index].process->signal(number);
}

bool EntryFleet::waitReady(std::size_t index, std::chrono::milliseconds timeout) const
{
    HttpCall readiness;
    readiness.port = ports(index)[1];
    readiness.target = "/ready";
    readiness.timeout = std::chrono::seconds(1);
    return waitFor(
        [&] {
            try {
                return call(readiness).status == 200;
            } catch (const std::exception &) {
                return false; // It does not listen yet.
            }
        },
        timeout);
}

std::string EntryFleet::output(std::size_t index) const
{
    const Process &process = *m_hosts[index].process;
    return process.output() + process.errors();
}

} // namespace sapphirecove::integration
