#pragma once

#include "tests/integration/entrysettings.h"
#include "tests/integration/process.h"
#include "tests/integration/storestub.h"
#include "tests/integration/tempfolder.h"
#include "tests/integration/waitfor.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace sapphirecove::integration {

/** Entry hosts as processes that share one store; they can be killed and started again. */
class EntryFleet
{
public:
    /** Prepares @p hosts hosts of the deployment whose records @p store holds, and starts none. */
    EntryFleet(StoreStub &store, std::size_t hosts);

    std::size_t size() const
    {
        return m_hosts.size();
    }

    /** Starts host @p index, which must not run; all starts of a host but the first one are restarts. */
    void start(std::size_t index);

    /** Ends host @p index as a crash does, and waits for its end. */
    void kill(std::size_t index);

    /** Returns whether host @p index has been started and has not ended. */
    bool isRunning(std::size_t index);

    /** Stops host @p index from running, or lets it run again. */
    void signal(std::size_t index, int number);

    /** Waits until host @p index says that it is ready. */
    bool waitReady(std::size_t index, std::chrono::milliseconds timeout) const;

    /** Ports of host @p index for callers, for the readiness check and for other hosts. */
    const std::vector<std::uint16_t> &ports(std::size_t index) const
    {
        return m_hosts[index].settings.ports;
    }

    /** Returns what the last process of host @p index has written. */
    std::string output(std::size_t index) const;

private:
    struct Host
    {
        EntryHostSettings settings;
        int starts = 0;
        std::unique_ptr<Process> process;
    };

    TempFolder m_folder;
    std::vector<Host> m_hosts;
};

} // namespace sapphirecove::integration
