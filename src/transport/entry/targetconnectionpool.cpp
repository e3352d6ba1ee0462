#include "transport/entry/targetconnectionpool.h"

#include "transport/sockets.h"

#include <algorithm>
#include <utility>

namespace sapphirecove::transport::entry {

namespace {

/** A connection is not reused this long before its target may close it, because a request could cross the close. */
constexpr state::Duration CloseMargin = std::chrono::milliseconds(1000);

bool expired(const TargetConnection &connection, state::Time now)
{
    return now - connection.idleSince + CloseMargin > connection.idleTimeout;
}

} // namespace

std::unique_ptr<TargetConnection> TargetConnectionPool::acquire(const std::string &target, state::Time now)
{
    const auto found = m_idle.find(target);
    if (found == m_idle.end()) {
        return nullptr;
    }
    // The most recently used connection is the least likely to be closed by its target.
    while (!found->second.empty()) {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        if (!expired(*connection, now) && connection->buffer.size() == 0 && isIdleAndOpen(connection->socket)) {
            return connection;
        }
    }
    return nullptr;
}

void TargetConnectionPool::release(const std::string &target,
                                   std::unique_ptr<TargetConnection> connection,
                                   std::size_t limit,
                                   state::Time now)
{
    connection->idleSince = now;
    auto &idle = m_idle[target];
    if (idle.size() < limit && !expired(*connection, now)) {
        idle.push_back(std::move(connection));
    }
}

void TargetConnectionPool::closeExpired(state::Time now)
{
    for (auto &[target, idle] : m_idle) {
        while (!idle.empty() && expired(*idle.front(), now)) {
            idle.pop_front();
        }
    }
    std::erase_if(m_idle, [](const auto &entry) {
        return entry.second.empty();
    });
}

void TargetConnectionPool::closeAll(const std::string &target)
{
    m_idle.erase(target);
}

} // namespace sapphirecove::transport::entry
