#pragma once

#include "state/time.h"

#include <map>
#include <optional>

namespace sapphirecove::coordination::entry {

/**
 * Determines whether the metadata store serves this host. It may refuse some hosts, or be away for all; either way, its
 * silence shows after a short time, long before the calls time out.
 */
class StoreReach
{
public:
    /** Records a call of sequence @p sequence, whose answer is due at @p due. A sequence has one call at a time. */
    void asked(int sequence, state::Time due);

    /** Records that the call of @p sequence was answered, or failed. */
    void ended(int sequence, bool answered, state::Time now);

    /**
     * Returns whether the last call failed, one without an answer is overdue, or the store is back for so short a time
     * that entries which expired meanwhile may still be missing.
     */
    bool isAway(state::Time now) const;

private:
    bool isSilent(state::Time now) const;

    std::map<int, state::Time> m_due; /**< by sequence */
    state::Time m_answeredAt{};
    std::optional<state::Time> m_awayUntil; /**< set once the store is back */
    bool m_failed = false;
};

} // namespace sapphirecove::coordination::entry
