#pragma once

#include "cli/configurationlog.h"
#include "transport/syncclient.h"

namespace sapphirecove::cli {

/** ConfigurationLog over HTTP, with the system's clock. */
class HttpConfigurationLog final : public ConfigurationLog
{
public:
    explicit HttpConfigurationLog(const protocol::Endpoint &endpoint);

    state::Result<protocol::LogReadResponse> read(state::Offset from, state::Duration wait) override;
    state::Result<void> append(const state::ConfigurationPublished &record) override;
    state::Time now() override;
    void pause(state::Duration duration) override;

private:
    std::string m_peer;
    transport::SyncClient m_client;
};

} // namespace sapphirecove::cli
