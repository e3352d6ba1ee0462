#include "cli/hostconnection.h"

#include "protocol/settingsreader.h"

namespace sapphirecove::cli {

namespace {

constexpr state::Duration ResponseTimeout = std::chrono::seconds(5);
constexpr int StatusOk = 200;

/** Replaces the address of a listener on all interfaces, to which clients cannot connect, by the loopback address. */
protocol::Endpoint connectableEndpoint(protocol::Endpoint endpoint)
{
    if (endpoint.address == "0.0.0.0") {
        endpoint.address = "127.0.0.1";
    } else if (endpoint.address == "::") {
        endpoint.address = "::1";
    }
    return endpoint;
}

} // namespace

HostConnection::HostConnection(protocol::Endpoint endpoint, std::string key)
    : m_endpoint(std::move(endpoint))
    , m_client(m_endpoint, std::move(key))
{
}

state::Result<HostConnection> HostConnection::create(const protocol::Settings &settings)
{
    BOOST_LEAF_AUTO(key, protocol::loadKey(settings.keys.operatorsFile));
    return HostConnection(connectableEndpoint(settings.listen.operators), key);
}

state::Result<std::string> HostConnection::fetch(std::string_view path) const
{
    BOOST_LEAF_AUTO(response, m_client.fetch(path, ResponseTimeout));
    if (response.status != StatusOk) {
        return state::fail("host.read", toString(m_endpoint), "status " + std::to_string(response.status));
    }
    return std::move(response.body);
}

state::Result<coordination::StatusReport> HostConnection::status(protocol::StatusPart part) const
{
    BOOST_LEAF_AUTO(body, fetch(protocol::statusPath(part)));
    return protocol::decodeStatus(part, body, toString(m_endpoint));
}

} // namespace sapphirecove::cli
