#pragma once

#include "state/configuration.h"

#include <array>
#include <memory>
#include <string_view>
#include <vector>

namespace sapphirecove::transport {

/** Active configuration, with the hashes of all customers' keys in one list for look-ups. */
class AppliedConfiguration
{
public:
    explicit AppliedConfiguration(std::shared_ptr<const state::Configuration> configuration);

    /** Returns the customer that owns @p bearerKey, or null. Takes the same time whichever hash matches. */
    const state::Customer *customerForKey(std::string_view bearerKey) const;

    /** Returns the model pool that serves @p model, or null. */
    const state::Pool *poolForModel(std::string_view model) const;

    const state::Configuration &configuration() const
    {
        return *m_configuration;
    }

private:
    struct KeyEntry
    {
        std::string_view hash;
        const state::Customer *customer = nullptr;
    };

    std::shared_ptr<const state::Configuration> m_configuration;
    std::vector<KeyEntry> m_keys;
};

} // namespace sapphirecove::transport
