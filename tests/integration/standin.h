#pragma once

#include "tests/integration/httpclient.h"
#include "tests/integration/process.h"

namespace sapphirecove::integration {

/** What a stand-in engine or service recorded of one request. */
struct StandinRecord
{
    std::string requestId;
    std::string idempotencyKey;
    std::string path;
    std::string bodyHash;
    std::string state;
    std::string version;
    std::int64_t receivedUs = 0;
    std::uint16_t port = 0; /**< of the engine or service */
};

/** Process of stand-ins of one kind. */
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

    /** Sets options of the listener @p index; throws if the stand-in refuses them. */
    void setOptions(const boost::json::value &options, std::size_t index = 0) const;
    /** Sends a control call; throws if it isn't answered with status 200. */
    boost::json::value control(const std::string &method,
                               const std::string &path,
                               const std::string &body = {},
                               std::size_t index = 0) const;
    /** Requests that all listeners of the process received. */
    std::vector<StandinRecord> records() const;

private:
    Process m_process;
    std::vector<std::uint16_t> m_ports;
};

} // namespace sapphirecove::integration
