#include "transport/data/appliedconfiguration.h"

#include "protocol/keyhash.h"

#include <utility>

namespace sapphirecove::transport {

AppliedConfiguration::AppliedConfiguration(std::shared_ptr<const state::Configuration> configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto &[id, customer] : m_configuration->customers) {
        for (const auto &hash : customer.keyHashes) {
            m_keys.push_back({ hash, &customer });
        }
    }
}

const state::Customer *AppliedConfiguration::customerForKey(std::string_view bearerKey) const
{
    if (bearerKey.empty()) {
        return nullptr;
    }
    const auto hash = state::handleFailure(
        [&] {
            return protocol::hashKey(bearerKey);
        },
        [](const state::Failure &) {
            return std::string();
        });
    const state::Customer *owner = nullptr;
    for (const auto &entry : m_keys) {
        if (protocol::equalInConstantTime(entry.hash, hash)) {
            owner = entry.customer;
        }
    }
    return owner;
}

const state::Pool *AppliedConfiguration::poolForModel(std::string_view model) const
{
    for (const auto &[id, pool] : m_configuration->pools) {
        if (pool.kind == state::PoolKind::Model && pool.model == model) {
            return &pool;
        }
    }
    return nullptr;
}

} // namespace sapphirecove::transport
