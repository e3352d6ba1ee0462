#pragma once

#include "coordination/arbiteroptions.h"
#include "state/identifiers.h"

#include <map>
#include <span>

namespace sapphirecove::coordination {

/**
 * Shares of a group's grants that limited versions may take.
 *
 * Each grant of the group earns a limited version its share as credit, and a grant to the version costs one. A version
 * therefore never gets more than its share, apart from the credit that it may save.
 */
class VersionCredits
{
public:
    /** Replaces the limits; the credit of versions that stay limited is kept. */
    void setWeights(std::span<const VersionWeight> weights);

    /** Returns whether the version may get any number of grants. */
    bool isUnlimited(const state::VersionName &version) const;

    /** Returns whether the version may get the next grant. */
    bool mayGrant(const state::VersionName &version) const;

    /** Returns whether the version is unlimited or limited to a share above zero. */
    bool canEarn(const state::VersionName &version) const;

    /** Returns whether the version is limited and should get the next grant, so that it reaches its share. */
    bool isDue(const state::VersionName &version) const;

    /** Accounts for a grant to @p version. */
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
