#pragma once

#include "tests/integration/entrysettings.h"
#include "tests/integration/httpclient.h"
#include "tests/integration/process.h"
#include "tests/integration/storestub.h"
#include "tests/integration/tempfolder.h"
#include "tests/integration/waitfor.h"

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace sapphirecove::integration {

/** Process of an entry host with a store and one target, which serves the route of the paths that begin with "/r/". */
class EntryProcess
{
public:
    /** Starts the host and waits until a request is served; @p memory is what its settings allow, in bytes. */
    EntryProcess(std::uint16_t targetPort, std::size_t memory)
        : m_store(records(targetPort))
        , m_ports(freePorts(4))
    {
        m_folder.write("node.json", encode(EntryHostSettings{ "host-1", m_ports, m_store.port(), memory }));
        m_host = std::make_unique<Process>(
            m_folder,
            "entry",
            std::vector<std::string>{
                programPath("sapphirecove"), "entry", "--settings", (m_folder / "node.json").string() });
        const bool ready = waitFor([this] {
            return m_host->isRunning() && call().status == 200;
        });
        if (!ready) {
            throw std::runtime_error("the host does not serve: " + m_host->output() + m_host->errors());
        }
    }

    Process &process()
    {
        return *m_host;
    }

    /** Ports of the listeners for callers, for the readiness check and for other hosts. */
    const std::vector<std::uint16_t> &ports() const
    {
        return m_ports;
    }

    /** Sends one ordinary request. */
    HttpResponse call() const
    {
        HttpCall call;
        call.port = m_ports[0];
        call.target = "/r/x";
        call.headers = {
            { "Host", "a.example" }, { "X-Attempt-Id", "o" }, { "X-Deadline-Ms", "20000" }, { "X-Api-Key", "k1" }
        };
        try {
            return sapphirecove::integration::call(call);
        } catch (const std::exception &) {
            return {}; // The process has not begun to listen.
        }
    }

private:
    static std::map<std::string, std::map<std::string, std::string>> records(std::uint16_t targetPort)
    {
        return {
            { "keyed.op",
              { { "config",
                  R"({"version":1,"routes":[{"name":"r","host":"a.example","pathPrefix":"/r/","kind":"idempotent",)"
                  R"("timeoutMs":20000,"targetLatencyMs":500,"priority":0,"service":"s","maxAttempts":2}],)"
                  R"("services":[{"name":"s"}],"tenants":[{"name":"t","apiKeys":["k1"]}]})" } } },
            { "keyed.servers",
              { { "i-1",
                  R"({"service":"s","address":"127.0.0.1:)" + std::to_string(targetPort)
                      + R"(","zone":"osu","version":"v1","concurrency":32,"state":"ready"})" } } },
        };
    }

    TempFolder m_folder;
    StoreStub m_store;
    std::vector<std::uint16_t> m_ports;
    std::unique_ptr<Process> m_host;
};

} // namespace sapphirecove::integration
