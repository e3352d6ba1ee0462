#pragma once

#include "transport/ring.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <utility>

namespace sapphirecove::transport {

/**
 * Sending side of a ring for items that must not be lost: it queues items that do not fit and retries them.
 * All calls must be on the producer's thread.
 */
template <typename T>
class Outbox
{
public:
    Outbox(boost::asio::io_context &producer, Ring<T> &ring)
        : m_ring(ring)
        , m_retry(producer)
    {
    }

    /** Sends @p item only if it fits into the ring at once and none is queued; returns whether it was sent. */
    bool trySend(T item)
    {
        return m_pending.empty() && m_ring.push(item);
    }

    /** Sends @p item, at once or as soon as the ring has room. Items stay in order. */
    void send(T item)
    {
        if (!m_pending.empty() || !m_ring.push(item)) {
            m_pending.push_back(std::move(item));
            scheduleRetry();
        }
    }

    /** Returns the number of queued items. */
    std::size_t pending() const
    {
        return m_pending.size();
    }

private:
    static constexpr std::chrono::milliseconds RetryInterval{ 1 };

    void scheduleRetry()
    {
        if (std::exchange(m_retryScheduled, true)) {
            return;
        }
        m_retry.expires_after(RetryInterval);
        m_retry.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                retry();
            }
        });
    }

    void retry()
    {
        m_retryScheduled = false;
        while (!m_pending.empty() && m_ring.push(m_pending.front())) {
            m_pending.pop_front();
        }
        if (!m_pending.empty()) {
            scheduleRetry();
        }
    }

    Ring<T> &m_ring;
    boost::asio::steady_timer m_retry;
    std::deque<T> m_pending;
    bool m_retryScheduled = false;
};

} // namespace sapphirecove::transport
