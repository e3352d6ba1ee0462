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
 * Producer's side of a ring for items that must not be lost: it keeps what does not fit and tries again.
 * All calls belong to the producer's thread.
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

    /** Passes @p item on only if it fits at once; returns whether it did. */
    bool trySend(T item)
    {
        return m_pending.empty() && m_ring.push(item);
    }

    /** Passes @p item on, now or as soon as there is room. Items stay in order. */
    void send(T item)
    {
        if (!m_pending.empty() || !m_ring.push(item)) {
            m_pending.push_back(std::move(item));
            scheduleRetry();
        }
    }

    /** Returns the number of items that wait for room. */
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
