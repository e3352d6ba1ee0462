#pragma once

#include "coordination/arbiteroptions.h"
#include "state/identifiers.h"

#include <map>
#include <span>

namespace sapphirecove::coordination {

/**
 * Shares of a group's grants that limited versions may take.
 *
 * Each grant of the group adds a limited version's share to its credit, and a grant to that version costs 1. A version
 * therefore never gets more than its share, apart from the credit that it may accumulate.
 */
class VersionCredits
{
public:
    /** Replaces the limits; the credit of versions that stay limited is kept. */
    void setWeights(std::span<const VersionWeight> weights);

    /** Returns whether the number of grants to the version is not limited. */
    bool isUnlimited(const state::VersionName &version) const;

    /** Returns whether the version may get the next grant. */
    bool mayGrant(const state::VersionName &version) const;

    /** Returns whether the version is unlimited or limited to a share above zero. */
    bool canEarn(const state::VersionName &version) const;

    /** Returns whether the version is limited and has credit for the next grant, which it needs to reach its share. */
    bool isDue(const state::VersionName &version) const;

    /** Updates the credits for a grant to @p version. */
    void granted(const state::VersionName &version);

private:
    struct Limit
    {
        double share = 0; /**< of all grants, below 1 */
        double credit = 0; /**< grants that the version may get now */
    };

    std::map<state::VersionName, Limit> m_limits;
};

} // namespace sapphirecove::coordination
