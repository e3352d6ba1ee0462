#pragma once

#include <cstdint>
#include <optional>

namespace sapphirecove::coordination::entry {

/**
 * Era of the metadata store: how often it came back from an older copy. Offsets, and what is known to be stored, are
 * valid in one era only.
 */
class StoreEra
{
public:
    /** What a response says about the era. */
    enum class Change {
        None, /**< the era is the known one, the first one, or not stated */
        Restored, /**< the store has come back from an older copy */
        Outdated, /**< the response is from before the last restore that is known */
    };

    /** Processes the era that a response or another host states. */
    Change observe(std::optional<std::uint64_t> stated);

    /** Returns the newest era that is known; nothing before the first one. */
    std::optional<std::uint64_t> current() const
    {
        return m_current;
    }

private:
    std::optional<std::uint64_t> m_current;
};

} // namespace sapphirecove::coordination::entry
