#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace sapphirecove::transport {

/**
 * Bounded queue from one producer thread to one consumer thread.
 *
 * The consumer's io_context is woken by a posted handler; at most one is pending at a time, so that a burst of items
 * costs one wake-up. The consumer must be set before the first push and the ring must outlive the consumer's thread.
 */
template <typename T>
class Ring
{
public:
    using Consumer = std::function<void(T &&)>;

    explicit Ring(std::size_t capacity)
        : m_items(capacity)
    {
    }

    Ring(const Ring &) = delete;
    Ring &operator=(const Ring &) = delete;

    ~Ring()
    {
        m_items.consume_all([](T *item) {
            delete item;
        });
    }

    /** Sets the function that receives each item on a thread of @p context. */
    void setConsumer(boost::asio::io_context &context, Consumer consumer)
    {
        m_context = &context;
        m_consumer = std::move(consumer);
    }

    /** Moves @p item in and returns true, or leaves it untouched and returns false if the ring is full. */
    bool push(T &item)
    {
        if (m_items.write_available() == 0) {
            return false;
        }
        m_items.push(new T(std::move(item)));
        wakeConsumer();
        return true;
    }

private:
    void wakeConsumer()
    {
        if (!m_wakePending.exchange(true, std::memory_order_acq_rel)) {
            boost::asio::post(*m_context, [this] {
                consume();
            });
        }
    }

    void consume()
    {
        // The flag is cleared before the queue is read: an item pushed after the last read posts a new handler.
        m_wakePending.exchange(false, std::memory_order_acq_rel);
        m_items.consume_all([this](T *pointer) {
            const std::unique_ptr<T> item(pointer);
            m_consumer(std::move(*item));
        });
    }

    // Holds pointers, because the queue of Boost 1.81 copies its elements and most items are expensive to copy.
    boost::lockfree::spsc_queue<T *> m_items;
    std::atomic<bool> m_wakePending = false;
    boost::asio::io_context *m_context = nullptr;
    Consumer m_consumer;
};

} // namespace sapphirecove::transport
