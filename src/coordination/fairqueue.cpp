#include "coordination/fairqueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sapphirecove::coordination {

namespace {

/** Smallest weight; a weight of zero would make the start tags infinite. */
constexpr double MinimumWeight = 0.001;

/** Cost of a request of a plain service, which has no tokens. */
constexpr double MinimumCost = 1;

double costOf(const SlotRequest &ask)
{
    return std::max(MinimumCost, static_cast<double>(ask.promptTokens) + static_cast<double>(ask.maxOutputTokens));
}

} // namespace

struct FairQueue::Entry
{
    WaitingAsk waiting;
    std::uint64_t sequence = 0;
    double cost = 0;
    Share *share = nullptr;
};

/** Customer within one tier. */
struct FairQueue::Share
{
    state::CustomerId customer;
    double weight = 1;
    double startTag = 0; /**< of the customer's next request; its last finish tag while nothing waits */
    double queuedCost = 0;
    double queuedWork = 0; /**< service seconds */
    std::set<const Entry *, EarlierDeadline> asks;
};

/** One tier. */
struct FairQueue::Level
{
    double virtualTime = 0;
    double lastFinish = 0; /**< highest finish tag */
    double queuedCost = 0;
    double queuedWork = 0; /**< service seconds */
    double waitingWeight = 0; /**< of customers with waiting requests */
    std::size_t size = 0;
    std::unordered_map<state::CustomerId, std::unique_ptr<Share>> shares;
    std::set<const Share *, EarlierStart> byStart; /**< customers with waiting requests */
    std::set<const Share *, LargerExcess> byExcess; /**< the same customers */
};

bool FairQueue::EarlierDeadline::operator()(const Entry *left, const Entry *right) const
{
    return std::tie(left->waiting.ask.deadline, left->sequence)
        < std::tie(right->waiting.ask.deadline, right->sequence);
}

bool FairQueue::EarlierLatestStart::operator()(const Entry *left, const Entry *right) const
{
    return std::tie(left->waiting.latestStart, left->sequence) < std::tie(right->waiting.latestStart, right->sequence);
}

bool FairQueue::EarlierStart::operator()(const Share *left, const Share *right) const
{
    return std::tie(left->startTag, left->customer) < std::tie(right->startTag, right->customer);
}

bool FairQueue::LargerExcess::operator()(const Share *left, const Share *right) const
{
    const double leftExcess = left->queuedCost / left->weight;
    const double rightExcess = right->queuedCost / right->weight;
    return std::tie(rightExcess, left->customer) < std::tie(leftExcess, right->customer);
}

FairQueue::FairQueue() = default;
FairQueue::~FairQueue() = default;

void FairQueue::setWeights(std::span<const CustomerWeight> weights)
{
    m_weights.clear();
    for (const CustomerWeight &weight : weights) {
        m_weights[weight.customer] = std::max(MinimumWeight, weight.weight);
    }
    for (auto &[tier, level] : m_levels) {
        for (auto &[customer, share] : level->shares) {
            unlink(*level, *share);
            share->weight = weightOf(customer);
            link(*level, *share);
        }
    }
}

bool FairQueue::push(WaitingAsk waiting)
{
    const auto [position, added] = m_entries.try_emplace(waiting.ask.request);
    if (!added) {
        return false;
    }
    position->second = std::make_unique<Entry>();
    Entry &entry = *position->second;
    entry.waiting = std::move(waiting);
    entry.sequence = m_nextSequence++;
    entry.cost = costOf(entry.waiting.ask);
    Level &level = this->level(entry.waiting.ask.tier);
    Share &share = this->share(level, entry.waiting.ask.customer);
    entry.share = &share;

    unlink(level, share);
    if (share.asks.empty()) {
        share.startTag = std::max(share.startTag, level.virtualTime);
    }
    share.asks.insert(&entry);
    share.queuedCost += entry.cost;
    share.queuedWork += entry.waiting.serviceSeconds;
    link(level, share);

    level.queuedCost += entry.cost;
    level.queuedWork += entry.waiting.serviceSeconds;
    ++level.size;
    m_byLatestStart.insert(&entry);
    return true;
}

const WaitingAsk *FairQueue::find(const state::RequestId &request) const
{
    const auto position = m_entries.find(request);
    return position == m_entries.end() ? nullptr : &position->second->waiting;
}

const WaitingAsk *FairQueue::front() const
{
    for (const auto &[tier, level] : m_levels) {
        if (level->size > 0) {
            return &(*(*level->byStart.begin())->asks.begin())->waiting;
        }
    }
    return nullptr;
}

std::optional<WaitingAsk> FairQueue::serve(const state::RequestId &request)
{
    return take(request, true);
}

std::optional<WaitingAsk> FairQueue::remove(const state::RequestId &request)
{
    return take(request, false);
}

std::optional<WaitingAsk> FairQueue::take(const state::RequestId &request, bool charge)
{
    const auto position = m_entries.find(request);
    if (position == m_entries.end()) {
        return std::nullopt;
    }
    const std::unique_ptr<Entry> entry = std::move(position->second);
    m_entries.erase(position);
    m_byLatestStart.erase(entry.get());
    Level &level = this->level(entry->waiting.ask.tier);
    Share &share = *entry->share;

    unlink(level, share);
    share.asks.erase(entry.get());
    share.queuedCost = share.asks.empty() ? 0 : share.queuedCost - entry->cost;
    share.queuedWork = share.asks.empty() ? 0 : share.queuedWork - entry->waiting.serviceSeconds;
    if (charge) {
        level.virtualTime = std::max(level.virtualTime, share.startTag);
        share.startTag += entry->cost / share.weight;
        level.lastFinish = std::max(level.lastFinish, share.startTag);
    }
    link(level, share);

    --level.size;
    level.queuedCost = level.size == 0 ? 0 : level.queuedCost - entry->cost;
    level.queuedWork = level.size == 0 ? 0 : level.queuedWork - entry->waiting.serviceSeconds;
    if (level.size == 0) {
        // The paper ends a busy period by moving the virtual time to the highest finish tag.
        level.virtualTime = std::max(level.virtualTime, level.lastFinish);
        level.waitingWeight = 0;
    }
    return std::move(entry->waiting);
}

void FairQueue::visit(const Visitor &visitor) const
{
    for (const auto &[tier, level] : m_levels) {
        for (const Share *share : level->byStart) {
            for (const Entry *entry : share->asks) {
                if (visitor(entry->waiting) == Visit::Stop) {
                    return;
                }
            }
        }
    }
}

const WaitingAsk *FairQueue::victim() const
{
    for (auto level = m_levels.rbegin(); level != m_levels.rend(); ++level) {
        if (level->second->size > 0) {
            return &(*(*level->second->byExcess.begin())->asks.rbegin())->waiting;
        }
    }
    return nullptr;
}

const WaitingAsk *FairQueue::earliestLatestStart() const
{
    return m_byLatestStart.empty() ? nullptr : &(*m_byLatestStart.begin())->waiting;
}

std::optional<state::Tier> FairQueue::lowestTier() const
{
    const WaitingAsk *waiting = victim();
    return waiting == nullptr ? std::nullopt : std::optional(waiting->ask.tier);
}

std::size_t FairQueue::size(state::Tier tier) const
{
    const auto position = m_levels.find(tier);
    return position == m_levels.end() ? 0 : position->second->size;
}

std::size_t FairQueue::size() const
{
    return m_entries.size();
}

bool FairQueue::empty() const
{
    return m_entries.empty();
}

void FairQueue::clear()
{
    m_byLatestStart.clear();
    m_levels.clear();
    m_entries.clear();
}

double FairQueue::workAhead(state::Tier tier, const state::CustomerId &customer, state::Time deadline) const
{
    double work = 0;
    auto position = m_levels.begin();
    for (; position != m_levels.end() && position->first < tier; ++position) {
        work += position->second->queuedWork;
    }
    if (position == m_levels.end() || position->first != tier || position->second->size == 0) {
        return work;
    }
    const Level &level = *position->second;
    const auto found = level.shares.find(customer);
    const double weight = weightOf(customer);
    if (found == level.shares.end()) {
        return work;
    }
    const Share &share = *found->second;
    double own = 0;
    if (!share.asks.empty()) {
        const state::Time first = (*share.asks.begin())->waiting.ask.deadline;
        const state::Time last = (*share.asks.rbegin())->waiting.ask.deadline;
        // The rank within the customer is interpolated: an exact one would need an order-statistics tree.
        const double span = state::toSeconds(last - first) + 1e-6;
        own = share.queuedWork * std::clamp(state::toSeconds(deadline - first) / span, 0.0, 1.0);
    }
    const double othersWork = level.queuedWork - share.queuedWork;
    const double othersWeight = level.waitingWeight - (share.asks.empty() ? 0 : share.weight);
    const double secondsPerCost = level.queuedWork / level.queuedCost;
    const double lead = std::max(0.0, share.startTag - level.virtualTime) * secondsPerCost;
    return work + own + std::clamp((own / weight + lead) * othersWeight, 0.0, othersWork);
}

double FairQueue::totalWork() const
{
    double work = 0;
    for (const auto &[tier, level] : m_levels) {
        work += level->queuedWork;
    }
    return work;
}

FairQueue::Level &FairQueue::level(state::Tier tier)
{
    std::unique_ptr<Level> &level = m_levels[tier];
    if (!level) {
        level = std::make_unique<Level>();
    }
    return *level;
}

FairQueue::Share &FairQueue::share(Level &level, const state::CustomerId &customer)
{
    std::unique_ptr<Share> &share = level.shares[customer];
    if (!share) {
        share = std::make_unique<Share>();
        share->customer = customer;
        share->weight = weightOf(customer);
    }
    return *share;
}

double FairQueue::weightOf(const state::CustomerId &customer) const
{
    const auto position = m_weights.find(customer);
    return position == m_weights.end() ? 1.0 : position->second;
}

void FairQueue::unlink(Level &level, Share &share)
{
    if (share.asks.empty()) {
        return;
    }
    level.byStart.erase(&share);
    level.byExcess.erase(&share);
    level.waitingWeight -= share.weight;
}

void FairQueue::link(Level &level, Share &share)
{
    if (share.asks.empty()) {
        return;
    }
    level.byStart.insert(&share);
    level.byExcess.insert(&share);
    level.waitingWeight += share.weight;
}

} // namespace sapphirecove::coordination
