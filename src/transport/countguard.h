#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace sapphirecove::transport {

/**
 * Increments a counter of running coroutines for its lifetime. The counter is shared, because the frame of an
 * unfinished coroutine is destroyed with its io_context, possibly after the object that started the coroutine.
 */
class CountGuard
{
public:
    explicit CountGuard(std::shared_ptr<std::size_t> count)
        : m_count(std::move(count))
    {
        ++*m_count;
    }

    ~CountGuard()
    {
        --*m_count;
    }

    CountGuard(const CountGuard &) = delete;
    CountGuard &operator=(const CountGuard &) = delete;

private:
    std::shared_ptr<std::size_t> m_count;
};

} // namespace sapphirecove::transport
