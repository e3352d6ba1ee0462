#include "coordination/fairqueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sapphirecove::coordination {

namespace {

/** Lower bound of the weights; a weight of zero would make the start tags infinite. */
constexpr double MinimumWeight = 0.001;

/** Cost of a request to a plain service, which has no tokens. */
constexpr double MinimumCost = 1;

double costOf(const SlotRequest &slotRequest)
{
    return std::max(MinimumCost,
                    static_cast<double>(slotRequest.promptTokens) + static_cast<double>(slotRequest.maxOutputTokens));
}

} // namespace

struct FairQueue::Entry
{
    WaitingRequest waiting;
    std::uint64_t sequence = 0;
    double cost = 0;
    CustomerQueue *customerQueue = nullptr;
};

/** Requests of one customer within one tier. */
struct FairQueue::CustomerQueue
{
    state::CustomerId customer;
    double weight = 1;
    double startTag = 0; /**< of the next request; the last finish tag if no request waits */
    double queuedCost = 0;
    double queuedWork = 0; /**< service seconds */
    std::set<const Entry *, EarlierDeadline> requests;
};

/** Requests of one tier. */
struct FairQueue::TierQueue
{
    double virtualTime = 0;
    double lastFinish = 0; /**< highest finish tag */
    double queuedCost = 0;
    double queuedWork = 0; /**< service seconds */
    double waitingWeight = 0; /**< of customers with waiting requests */
    std::size_t size = 0;
    std::unordered_map<state::CustomerId, std::unique_ptr<CustomerQueue>> customers;
    std::set<const CustomerQueue *, EarlierStartTag> byStartTag; /**< customers with waiting requests */
    std::set<const CustomerQueue *, LargerExcess> byExcess; /**< the same customers */
};

bool FairQueue::EarlierDeadline::operator()(const Entry *left, const Entry *right) const
{
    return std::tie(left->waiting.slotRequest.deadline, left->sequence)
        < std::tie(right->waiting.slotRequest.deadline, right->sequence);
}

bool FairQueue::EarlierLatestStart::operator()(const Entry *left, const Entry *right) const
{
    return std::tie(left->waiting.latestStart, left->sequence) < std::tie(right->waiting.latestStart, right->sequence);
}

bool FairQueue::EarlierStartTag::operator()(const CustomerQueue *left, const CustomerQueue *right) const
{
    return std::tie(left->startTag, left->customer) < std::tie(right->startTag, right->customer);
}

bool FairQueue::LargerExcess::operator()(const CustomerQueue *left, const CustomerQueue *right) const
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
    for (auto &[tier, tierQueue] : m_tiers) {
        for (auto &[customer, customerQueue] : tierQueue->customers) {
            unlink(*tierQueue, *customerQueue);
            customerQueue->weight = weightOf(customer);
            link(*tierQueue, *customerQueue);
        }
    }
}

bool FairQueue::push(WaitingRequest waiting)
{
    const auto [position, added] = m_entries.try_emplace(waiting.slotRequest.request);
    if (!added) {
        return false;
    }
    position->second = std::make_unique<Entry>();
    Entry &entry = *position->second;
    entry.waiting = std::move(waiting);
    entry.sequence = m_nextSequence++;
    entry.cost = costOf(entry.waiting.slotRequest);
    TierQueue &tierQueue = this->tierQueue(entry.waiting.slotRequest.tier);
    CustomerQueue &customerQueue = this->customerQueue(tierQueue, entry.waiting.slotRequest.customer);
    entry.customerQueue = &customerQueue;

    unlink(tierQueue, customerQueue);
    if (customerQueue.requests.empty()) {
        customerQueue.startTag = std::max(customerQueue.startTag, tierQueue.virtualTime);
    }
    customerQueue.requests.insert(&entry);
    customerQueue.queuedCost += entry.cost;
    customerQueue.queuedWork += entry.waiting.serviceSeconds;
    link(tierQueue, customerQueue);

    tierQueue.queuedCost += entry.cost;
    tierQueue.queuedWork += entry.waiting.serviceSeconds;
    ++tierQueue.size;
    m_byLatestStart.insert(&entry);
    return true;
}

const WaitingRequest *FairQueue::find(const state::RequestId &request) const
{
    const auto position = m_entries.find(request);
    return position == m_entries.end() ? nullptr : &position->second->waiting;
}

const WaitingRequest *FairQueue::front() const
{
    for (const auto &[tier, tierQueue] : m_tiers) {
        if (tierQueue->size > 0) {
            return &(*(*tierQueue->byStartTag.begin())->requests.begin())->waiting;
        }
    }
    return nullptr;
}

std::optional<WaitingRequest> FairQueue::serve(const state::RequestId &request)
{
    return take(request, true);
}

std::optional<WaitingRequest> FairQueue::remove(const state::RequestId &request)
{
    return take(request, false);
}

std::optional<WaitingRequest> FairQueue::take(const state::RequestId &request, bool charge)
{
    const auto position = m_entries.find(request);
    if (position == m_entries.end()) {
        return std::nullopt;
    }
    const std::unique_ptr<Entry> entry = std::move(position->second);
    m_entries.erase(position);
    m_byLatestStart.erase(entry.get());
    TierQueue &tierQueue = this->tierQueue(entry->waiting.slotRequest.tier);
    CustomerQueue &customerQueue = *entry->customerQueue;

    unlink(tierQueue, customerQueue);
    customerQueue.requests.erase(entry.get());
    customerQueue.queuedCost = customerQueue.requests.empty() ? 0 : customerQueue.queuedCost - entry->cost;
    customerQueue.queuedWork =
        customerQueue.requests.empty() ? 0 : customerQueue.queuedWork - entry->waiting.serviceSeconds;
    if (charge) {
        tierQueue.virtualTime = std::max(tierQueue.virtualTime, customerQueue.startTag);
        customerQueue.startTag += entry->cost / customerQueue.weight;
        tierQueue.lastFinish = std::max(tierQueue.lastFinish, customerQueue.startTag);
    }
    link(tierQueue, customerQueue);

    --tierQueue.size;
    tierQueue.queuedCost = tierQueue.size == 0 ? 0 : tierQueue.queuedCost - entry->cost;
    tierQueue.queuedWork = tierQueue.size == 0 ? 0 : tierQueue.queuedWork - entry->waiting.serviceSeconds;
    if (tierQueue.size == 0) {
        // At the end of a busy period, the paper sets the virtual time to the highest finish tag.
        tierQueue.virtualTime = std::max(tierQueue.virtualTime, tierQueue.lastFinish);
        tierQueue.waitingWeight = 0;
    }
    return std::move(entry->waiting);
}

void FairQueue::visit(const Visitor &visitor) const
{
    for (const auto &[tier, tierQueue] : m_tiers) {
        for (const CustomerQueue *customerQueue : tierQueue->byStartTag) {
            for (const Entry *entry : customerQueue->requests) {
                if (visitor(entry->waiting) == Visit::Stop) {
                    return;
                }
            }
        }
    }
}

const WaitingRequest *FairQueue::shedCandidate() const
{
    for (auto tierQueue = m_tiers.rbegin(); tierQueue != m_tiers.rend(); ++tierQueue) {
        if (tierQueue->second->size > 0) {
            return &(*(*tierQueue->second->byExcess.begin())->requests.rbegin())->waiting;
        }
    }
    return nullptr;
}

const WaitingRequest *FairQueue::requestWithEarliestLatestStart() const
{
    return m_byLatestStart.empty() ? nullptr : &(*m_byLatestStart.begin())->waiting;
}

std::optional<state::Tier> FairQueue::lowestTier() const
{
    const WaitingRequest *waiting = shedCandidate();
    return waiting == nullptr ? std::nullopt : std::optional(waiting->slotRequest.tier);
}

std::size_t FairQueue::size(state::Tier tier) const
{
    const auto position = m_tiers.find(tier);
    return position == m_tiers.end() ? 0 : position->second->size;
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
    m_tiers.clear();
    m_entries.clear();
}

double FairQueue::workAhead(state::Tier tier, const state::CustomerId &customer, state::Time deadline) const
{
    double work = 0;
    auto position = m_tiers.begin();
    for (; position != m_tiers.end() && position->first < tier; ++position) {
        work += position->second->queuedWork;
    }
    if (position == m_tiers.end() || position->first != tier || position->second->size == 0) {
        return work;
    }
    const TierQueue &tierQueue = *position->second;
    const auto found = tierQueue.customers.find(customer);
    const double weight = weightOf(customer);
    if (found == tierQueue.customers.end()) {
        return work;
    }
    const CustomerQueue &customerQueue = *found->second;
    double own = 0;
    if (!customerQueue.requests.empty()) {
        const state::Time first = (*customerQueue.requests.begin())->waiting.slotRequest.deadline;
        const state::Time last = (*customerQueue.requests.rbegin())->waiting.slotRequest.deadline;
        // The position among the customer's requests is interpolated; an exact one would need an order-statistics tree.
        const double span = state::toSeconds(last - first) + 1e-6;
        own = customerQueue.queuedWork * std::clamp(state::toSeconds(deadline - first) / span, 0.0, 1.0);
    }
    const double othersWork = tierQueue.queuedWork - customerQueue.queuedWork;
    const double othersWeight = tierQueue.waitingWeight - (customerQueue.requests.empty() ? 0 : customerQueue.weight);
    const double secondsPerCost = tierQueue.queuedWork / tierQueue.queuedCost;
    const double lead = std::max(0.0, customerQueue.startTag - tierQueue.virtualTime) * secondsPerCost;
    return work + own + std::clamp((own / weight + lead) * othersWeight, 0.0, othersWork);
}

double FairQueue::totalWork() const
{
    double work = 0;
    for (const auto &[tier, tierQueue] : m_tiers) {
        work += tierQueue->queuedWork;
    }
    return work;
}

FairQueue::TierQueue &FairQueue::tierQueue(state::Tier tier)
{
    std::unique_ptr<TierQueue> &tierQueue = m_tiers[tier];
    if (!tierQueue) {
        tierQueue = std::make_unique<TierQueue>();
    }
    return *tierQueue;
}

FairQueue::CustomerQueue &FairQueue::customerQueue(TierQueue &tierQueue, const state::CustomerId &customer)
{
    std::unique_ptr<CustomerQueue> &customerQueue = tierQueue.customers[customer];
    if (!customerQueue) {
        customerQueue = std::make_unique<CustomerQueue>();
        customerQueue->customer = customer;
        customerQueue->weight = weightOf(customer);
    }
    return *customerQueue;
}

double FairQueue::weightOf(const state::CustomerId &customer) const
{
    const auto position = m_weights.find(customer);
    return position == m_weights.end() ? 1.0 : position->second;
}

void FairQueue::unlink(TierQueue &tierQueue, CustomerQueue &customerQueue)
{
    if (customerQueue.requests.empty()) {
        return;
    }
    tierQueue.byStartTag.erase(&customerQueue);
    tierQueue.byExcess.erase(&customerQueue);
    tierQueue.waitingWeight -= customerQueue.weight;
}

void FairQueue::link(TierQueue &tierQueue, CustomerQueue &customerQueue)
{
    if (customerQueue.requests.empty()) {
        return;
    }
    tierQueue.byStartTag.insert(&customerQueue);
    tierQueue.byExcess.insert(&customerQueue);
    tierQueue.waitingWeight += customerQueue.weight;
}

} // namespace sapphirecove::coordination
