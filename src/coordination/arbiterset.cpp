#include "coordination/arbiterset.h"

#include "coordination/placement/register.h"

#include <xxhash.h>

namespace sapphirecove::coordination {

namespace {

TargetListing listingOf(std::optional<state::ListedState> listed)
{
    if (!listed) {
        return TargetListing::Unlisted;
    }
    return *listed == state::ListedState::Live ? TargetListing::Live : TargetListing::Leaving;
}

std::vector<VersionWeight> weightsOf(const VersionShares &shares)
{
    if (shares.to.empty()) {
        return {};
    }
    return { VersionWeight{ shares.from, 1000, !shares.fromAllowed },
             VersionWeight{ shares.to, shares.sharePerMille, !shares.toAllowed } };
}

} // namespace

ArbiterSet::ArbiterSet(const CoordinatorOptions &options, TierGate &gate)
    : m_options(options)
    , m_gate(gate)
{
}

void ArbiterSet::configure(std::shared_ptr<const state::Configuration> configuration, const GroupTable &groups)
{
    m_configuration = std::move(configuration);
    const auto isGone = [&](const auto &item) {
        return groups.find(item.first) == nullptr;
    };
    std::erase_if(m_arbiters, isGone);
    std::erase_if(m_weights, isGone);
    for (auto &[group, arbiter] : m_arbiters) {
        const ArbiterOptions options = makeOptions(*groups.find(group));
        arbiter->setLimits(options.lowestTier, options.queueLength);
        arbiter->setCustomers(customerWeights());
    }
}

void ArbiterSet::start(const Group &group,
                       const Membership &membership,
                       std::span<const state::HostId> expected,
                       state::Time now)
{
    if (contains(group.id)) {
        return;
    }
    auto created = state::handleFailure(
        [&]() -> state::Result<std::unique_ptr<Arbiter>> {
            BOOST_LEAF_AUTO(policy, placement::create(m_options.placement));
            return Arbiter::create(group.id, makeOptions(group), std::move(policy));
        },
        [](const state::Failure &) {
            return std::unique_ptr<Arbiter>();
        });
    if (!created) {
        return; // unreachable: Coordinator::create() has checked the policy name, and every group has a pool
    }
    created->setCustomers(customerWeights());
    created->setTargets(targetsOf(group, membership), now);
    created->beginRebuild(expected, now);
    m_arbiters[group.id] = std::move(created);
}

void ArbiterSet::stop(const state::GroupId &group)
{
    m_arbiters.erase(group);
    m_weights.erase(group);
}

bool ArbiterSet::contains(const state::GroupId &group) const
{
    return m_arbiters.contains(group);
}

void ArbiterSet::refreshTargets(const GroupTable &groups, const Membership &membership, state::Time now)
{
    for (auto &[id, arbiter] : m_arbiters) {
        arbiter->setTargets(targetsOf(*groups.find(id), membership), now);
    }
}

void ArbiterSet::refreshVersions(const GroupTable &groups, const VersionController &versions)
{
    for (auto &[id, arbiter] : m_arbiters) {
        std::vector<VersionWeight> weights = weightsOf(versions.shares(groups.find(id)->pool));
        std::vector<VersionWeight> &known = m_weights[id];
        if (weights != known) {
            arbiter->setVersionWeights(weights);
            known = std::move(weights);
        }
    }
}

void ArbiterSet::requestSlot(const state::HostId &from,
                             const SlotRequest &slotRequest,
                             state::Time now,
                             Replies &replies)
{
    Arbiter *arbiter = find(slotRequest.group);
    if (arbiter == nullptr) {
        replies.push_back(
            Reply{ from, SlotDenial{ slotRequest.request, slotRequest.group, DenialReason::NotArbiter, {} } });
        return;
    }
    arbiter->requestSlot(from, slotRequest, now, replies);
}

void ArbiterSet::withdraw(const state::HostId &from, const SlotWithdrawal &withdrawal, state::Time now)
{
    if (Arbiter *arbiter = find(withdrawal.group)) {
        arbiter->withdraw(from, withdrawal, now);
    }
}

void ArbiterSet::release(const state::HostId &from, const SlotRelease &release, state::Time now, Replies &replies)
{
    if (Arbiter *arbiter = find(release.group)) {
        arbiter->release(from, release, now, replies);
    }
}

void ArbiterSet::report(const state::HostId &from, const OutstandingReport &report, state::Time now)
{
    if (Arbiter *arbiter = find(report.group)) {
        arbiter->report(from, report, now);
    }
}

void ArbiterSet::loadReported(const state::GroupId &group, const LoadReported &report, state::Time now)
{
    if (Arbiter *arbiter = find(group)) {
        arbiter->loadReported(report, now);
    }
}

void ArbiterSet::cacheChanged(const state::GroupId &group, const CacheChanged &change, state::Time now)
{
    if (Arbiter *arbiter = find(group)) {
        arbiter->cacheChanged(change, now);
    }
}

void ArbiterSet::hostLost(const state::HostId &host, state::Time now)
{
    for (auto &[id, arbiter] : m_arbiters) {
        arbiter->hostLost(host, now);
    }
}

void ArbiterSet::tick(state::Time now, Replies &replies)
{
    for (auto &[id, arbiter] : m_arbiters) {
        arbiter->tick(now, replies);
    }
}

std::vector<GroupSummary> ArbiterSet::summaries(state::Time now) const
{
    std::vector<GroupSummary> result;
    result.reserve(m_arbiters.size());
    for (const auto &[id, arbiter] : m_arbiters) {
        result.push_back(arbiter->summary(now));
    }
    return result;
}

std::vector<GroupStatus> ArbiterSet::status(state::Time now) const
{
    std::vector<GroupStatus> result;
    result.reserve(m_arbiters.size());
    for (const auto &[id, arbiter] : m_arbiters) {
        result.push_back(arbiter->status(now));
    }
    return result;
}

std::vector<state::GroupId> ArbiterSet::groups() const
{
    std::vector<state::GroupId> result;
    result.reserve(m_arbiters.size());
    for (const auto &[id, arbiter] : m_arbiters) {
        result.push_back(id);
    }
    return result;
}

Arbiter *ArbiterSet::find(const state::GroupId &group)
{
    const auto found = m_arbiters.find(group);
    return found == m_arbiters.end() ? nullptr : found->second.get();
}

ArbiterOptions ArbiterSet::makeOptions(const Group &group) const
{
    const state::Pool &pool = m_configuration->pools.at(group.pool);
    ArbiterOptions options;
    options.pool = group.pool;
    options.kind = pool.kind;
    options.self = m_options.host;
    options.incarnation = m_options.incarnation;
    options.seed = XXH64(group.id.data(), group.id.size(), m_options.seed);
    options.lowestTier = m_configuration->tiers.empty() ? 0 : m_configuration->tiers.rbegin()->first;
    options.queueLength = static_cast<std::size_t>(m_configuration->limits.queueLength);
    options.failureDomains = m_configuration->failureDomains;
    options.gate = &m_gate;
    return options;
}

std::vector<ArbiterTarget> ArbiterSet::targetsOf(const Group &group, const Membership &membership) const
{
    const state::Pool &pool = m_configuration->pools.at(group.pool);
    std::vector<ArbiterTarget> targets;
    targets.reserve(group.targets.size());
    for (const state::TargetId &id : group.targets) {
        const state::Target &target = m_configuration->targets.at(id);
        targets.push_back(ArbiterTarget{ id,
                                         target.failureDomain,
                                         target.capacity.value_or(pool.capacity),
                                         pool.version,
                                         listingOf(membership.targetState(id)) });
    }
    return targets;
}

std::vector<CustomerWeight> ArbiterSet::customerWeights() const
{
    std::vector<CustomerWeight> weights;
    weights.reserve(m_configuration->customers.size());
    for (const auto &[id, customer] : m_configuration->customers) {
        weights.push_back(CustomerWeight{ id, customer.weight });
    }
    return weights;
}

} // namespace sapphirecove::coordination
