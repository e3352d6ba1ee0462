#pragma once

#include "coordination/waitingrequest.h"
#include "state/configuration.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>

namespace sapphirecove::coordination {

/** Weight of one customer relative to the other customers of the same tier. */
struct CustomerWeight
{
    state::CustomerId customer;
    double weight = 1.0;
};

/**
 * Queue of the waiting slot requests of one arbiter.
 *
 * Tiers have strict priority. Within a tier, customers share by weight with start-time fair queueing (Goyal, Vin and
 * Cheng, "Start-time Fair Queueing", SIGCOMM 1996); the cost of a request is its number of prompt and output tokens.
 * Within a customer, the earliest deadline comes first. Insertion, removal and both selections take O(log n).
 */
class FairQueue
{
public:
    /** Decision of a visitor after each waiting request. */
    enum class Visit {
        Continue, /**< go on with the next request in order */
        Stop,
    };
    using Visitor = std::function<Visit(const WaitingRequest &)>;

    FairQueue();
    ~FairQueue();
    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;

    /** Replaces the weights. A customer without an entry has weight 1, and weights below 0.001 count as 0.001. */
    void setWeights(std::span<const CustomerWeight> weights);

    /** Adds a request; returns false and changes nothing if its id is already queued. */
    bool push(WaitingRequest waiting);

    /** Returns the queued request with this id, or a null pointer. */
    const WaitingRequest *find(const state::RequestId &request) const;

    /** Returns the request to be served next, or a null pointer if the queue is empty. */
    const WaitingRequest *front() const;

    /** Removes a request that is served and charges its cost to its customer. */
    std::optional<WaitingRequest> serve(const state::RequestId &request);

    /** Removes a request that is not served; nothing is charged. */
    std::optional<WaitingRequest> remove(const state::RequestId &request);

    /**
     * Visits requests in order of tier, customer and deadline until the visitor stops.
     * The order follows the current start tags; the cost of the visited requests is not charged during the visit.
     * The visitor must not change the queue.
     */
    void visit(const Visitor &visitor) const;

    /**
     * Returns the request to shed first: of the lowest tier, of the customer with the most queued cost for its weight,
     * the one with the latest deadline. Returns a null pointer if the queue is empty.
     */
    const WaitingRequest *shedCandidate() const;

    /** Returns the request with the earliest latest start, or a null pointer if the queue is empty. */
    const WaitingRequest *requestWithEarliestLatestStart() const;

    /** Returns the lowest tier (the highest number) with waiting requests. */
    std::optional<state::Tier> lowestTier() const;

    /** Returns the number of waiting requests of a tier. */
    std::size_t size(state::Tier tier) const;

    /** Returns the number of waiting requests. */
    std::size_t size() const;

    bool empty() const;

    /** Removes all requests and resets the charges of all customers. */
    void clear();

    /**
     * Returns the estimated service seconds of the work that is served before a new request with these properties: all
     * work of higher tiers, earlier deadlines of the same customer, and the share of the other customers of its tier
     * until then.
     */
    double workAhead(state::Tier tier, const state::CustomerId &customer, state::Time deadline) const;

    /** Returns the estimated service seconds of all waiting requests. */
    double totalWork() const;

private:
    struct Entry;
    struct CustomerQueue;
    struct TierQueue;
    struct EarlierDeadline
    {
        bool operator()(const Entry *left, const Entry *right) const;
    };
    struct EarlierLatestStart
    {
        bool operator()(const Entry *left, const Entry *right) const;
    };
    struct EarlierStartTag
    {
        bool operator()(const CustomerQueue *left, const CustomerQueue *right) const;
    };
    struct LargerExcess
    {
        bool operator()(const CustomerQueue *left, const CustomerQueue *right) const;
    };

    TierQueue &tierQueue(state::Tier tier);
    CustomerQueue &customerQueue(TierQueue &tierQueue, const state::CustomerId &customer);
    double weightOf(const state::CustomerId &customer) const;
    std::optional<WaitingRequest> take(const state::RequestId &request, bool charge);
    static void unlink(TierQueue &tierQueue, CustomerQueue &customerQueue);
    static void link(TierQueue &tierQueue, CustomerQueue &customerQueue);

    std::unordered_map<state::RequestId, std::unique_ptr<Entry>> m_entries;
    std::map<state::Tier, std::unique_ptr<TierQueue>> m_tiers; // only tiers that have been used
    std::set<const Entry *, EarlierLatestStart> m_byLatestStart;
    std::unordered_map<state::CustomerId, double> m_weights;
    std::uint64_t m_nextSequence = 0;
};

} // namespace sapphirecove::coordination
