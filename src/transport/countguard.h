#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace sapphirecove::transport {

/**
 * Counts the coroutines in progress. The count is shared, because the frame of a coroutine that never ended is
 * destroyed with its io_context, which can be later than the object that started it.
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
