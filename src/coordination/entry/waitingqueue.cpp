#include "coordination/entry/waitingqueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sapphirecove::coordination::entry {

namespace {

/**
 * Factor by which the value of a response falls with each priority level. In the workloads of docs/design.md, it
 * differs by a factor of 3 to 12 from one priority to the next.
 */
constexpr double PriorityFactor = 4;

/**
 * Value of a response after its latency target, relative to one on time: a late response is still worth about a third
 * in the workloads of docs/design.md.
 */
constexpr double LateValue = 0.3;

/** Lower limit of the slot time, so that a single short response does not outrank everything else. */
constexpr double MinSlotMs = 5;

/** Priority levels beyond this one are treated alike. */
constexpr int MaxPriority = 8;

bool onTime(const WaitingRequest &request, state::Time now)
{
    return now <= request.latestOnTimeDispatch;
}

} // namespace

void WaitingQueue::add(WaitingRequest request)
{
    auto &queue = m_services[request.service][{ request.route, request.priority, request.permittedRegions }];
    // Requests of one queue mostly arrive in the order of their latency targets, so that the search usually ends at
    // once.
    auto position = queue.end();
    while (position != queue.begin() && std::prev(position)->latestOnTimeDispatch > request.latestOnTimeDispatch) {
        --position;
    }
    m_queueOf[request.id] = &queue;
    queue.insert(position, std::move(request));
}

bool WaitingQueue::remove(std::uint64_t id)
{
    const auto found = m_queueOf.find(id);
    if (found == m_queueOf.end()) {
        return false;
    }
    std::erase_if(*found->second, [id](const WaitingRequest &request) {
        return request.id == id;
    });
    m_queueOf.erase(found);
    return true;
}

std::optional<WaitingRequest> WaitingQueue::take(std::uint64_t id)
{
    const auto found = m_queueOf.find(id);
    if (found == m_queueOf.end()) {
        return std::nullopt;
    }
    const auto request = std::find_if(found->second->begin(), found->second->end(), [id](const auto &waiting) {
        return waiting.id == id;
    });
    std::optional<WaitingRequest> taken = std::move(*request);
    found->second->erase(request);
    m_queueOf.erase(found);
    return taken;
}

std::vector<WaitingRequest> WaitingQueue::takeExpired(state::Time now)
{
    return takeIf([now](const WaitingRequest &request) {
        return request.expiresAt <= now;
    });
}

std::vector<WaitingRequest> WaitingQueue::takeIf(const std::function<bool(const WaitingRequest &)> &predicate)
{
    std::vector<WaitingRequest> taken;
    for (auto &[service, queues] : m_services) {
        for (auto &[key, queue] : queues) {
            const auto end = std::stable_partition(queue.begin(), queue.end(), [&](const WaitingRequest &request) {
                return !predicate(request);
            });
            std::move(end, queue.end(), std::back_inserter(taken));
            queue.erase(end, queue.end());
        }
    }
    for (const auto &request : taken) {
        m_queueOf.erase(request.id);
    }
    return taken;
}

std::vector<const WaitingRequest *> WaitingQueue::candidates(std::string_view service, state::Time now) const
{
    std::vector<const WaitingRequest *> result;
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return result;
    }
    for (const auto &[key, queue] : found->second) {
        if (queue.empty()) {
            continue;
        }
        const auto firstOnTime = std::find_if(queue.begin(), queue.end(), [now](const WaitingRequest &request) {
            return onTime(request, now);
        });
        if (firstOnTime != queue.end()) {
            result.push_back(&*firstOnTime);
        }
        if (firstOnTime != queue.begin()) {
            result.push_back(&queue.front());
        }
    }
    std::sort(result.begin(), result.end(), [now](const WaitingRequest *a, const WaitingRequest *b) {
        const double rankA = rankOf(*a, now);
        const double rankB = rankOf(*b, now);
        return rankA != rankB ? rankA > rankB : a->latestOnTimeDispatch < b->latestOnTimeDispatch;
    });
    return result;
}

std::size_t WaitingQueue::parts() const
{
    std::size_t count = 0;
    for (const auto &[service, queues] : m_services) {
        for (const auto &[key, queue] : queues) {
            for (const WaitingRequest &request : queue) {
                count += request.parts.size();
            }
        }
    }
    return count;
}

std::size_t WaitingQueue::ahead(const WaitingRequest &request, state::Time now) const
{
    const auto service = m_services.find(request.service);
    if (service == m_services.end()) {
        return 0;
    }
    const double rank = rankOf(request, now);
    std::ptrdiff_t count = 0;
    for (const auto &[key, queue] : service->second) {
        count += std::count_if(queue.begin(), queue.end(), [&](const WaitingRequest &other) {
            const double otherRank = rankOf(other, now);
            return otherRank > rank
                || (otherRank == rank && other.latestOnTimeDispatch <= request.latestOnTimeDispatch);
        });
    }
    return static_cast<std::size_t>(count);
}

double WaitingQueue::rankOf(const WaitingRequest &request, state::Time now)
{
    const double value = std::pow(PriorityFactor, -std::clamp(request.priority, 0, MaxPriority));
    const double timely = onTime(request, now) ? 1 : LateValue;
    return value * timely * 1000 / std::max(MinSlotMs, request.usualSlotMs);
}

std::vector<std::string_view> WaitingQueue::services() const
{
    std::vector<std::string_view> names;
    for (const auto &[service, queues] : m_services) {
        const bool waiting = std::any_of(queues.begin(), queues.end(), [](const auto &entry) {
            return !entry.second.empty();
        });
        if (waiting) {
            names.push_back(service);
        }
    }
    return names;
}

} // namespace sapphirecove::coordination::entry
