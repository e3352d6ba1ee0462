#pragma once

#include "tests/integration/httpclient.h"
#include "tests/integration/process.h"

namespace sapphirecove::integration {

/** Record of one request that a stand-in engine or service received. */
struct StandinRecord
{
    std::string requestId;
    std::string idempotencyKey;
    std::string path;
    std::string bodyHash;
    std::string state;
    std::string version;
    std::int64_t receivedUs = 0;
    std::uint16_t port = 0; /**< of the engine or service that received it */
};

/** Process that runs one or more stand-ins of one kind, each with its own listener. */
class Standin
{
public:
    /** Starts `sapphirecove-standins KIND --port 0 ARGUMENTS...` and waits until @p count listeners are ready. */
    Standin(const TempFolder &folder,
            const std::string &kind,
            const std::vector<std::string> &arguments,
            std::size_t count = 1);

    std::uint16_t port(std::size_t index = 0) const
    {
        return m_ports.at(index);
    }
    const std::vector<std::uint16_t> &ports() const
    {
        return m_ports;
    }
    Process &process()
    {
        return m_process;
    }

    /** Sets options of the stand-in at listener @p index; throws if it rejects them. */
    void setOptions(const boost::json::value &options, std::size_t index = 0) const;
    /** Sends a control request and returns the JSON response; throws if its status isn't 200. */
    boost::json::value control(const std::string &method,
                               const std::string &path,
                               const std::string &body = {},
                               std::size_t index = 0) const;
    /** Returns the requests that all listeners of the process received. */
    std::vector<StandinRecord> records() const;

private:
    Process m_process;
    std::vector<std::uint16_t> m_ports;
};

} // namespace sapphirecove::integration
