#include "bench/connectionpool.h"

namespace sapphirecove::load {

namespace {

/** Idle time after which a connection isn't reused; shorter than the idle timeout of the servers. */
constexpr auto MaxIdleTime = std::chrono::seconds(2);
constexpr auto DownTime = std::chrono::seconds(1);

} // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context &context, std::vector<Host> hosts)
    : m_context(context)
    , m_hosts(std::move(hosts))
{
}

ConnectionPool::Host &ConnectionPool::chooseHost()
{
    const auto now = Clock::now();
    for (std::size_t attempt = 0; attempt < m_hosts.size(); ++attempt) {
        auto &host = m_hosts[m_next++ % m_hosts.size()];
        if (host.downUntil <= now) {
            return host;
        }
    }
    return m_hosts[m_next++ % m_hosts.size()];
}

ConnectionPool::Stream ConnectionPool::acquire(Host &host)
{
    const auto oldestAllowed = Clock::now() - MaxIdleTime;
    while (!host.idle.empty()) {
        auto [since, stream] = std::move(host.idle.back());
        host.idle.pop_back();
        if (since >= oldestAllowed) {
            return std::move(stream);
        }
    }
    return std::make_unique<boost::beast::tcp_stream>(m_context);
}

void ConnectionPool::release(Host &host, Stream stream)
{
    host.idle.emplace_back(Clock::now(), std::move(stream));
}

void ConnectionPool::markDown(Host &host)
{
    host.downUntil = Clock::now() + DownTime;
    host.idle.clear();
}

} // namespace sapphirecove::load
