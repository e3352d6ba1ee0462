#pragma once

#include <cstddef>

namespace sapphirecove::transport {

/** Counts the coroutines in progress, including those whose frame is destroyed before they end. */
class CountGuard
{
public:
    explicit CountGuard(std::size_t &count)
        : m_count(count)
    {
        ++m_count;
    }

    ~CountGuard()
    {
        --m_count;
    }

    CountGuard(const CountGuard &) = delete;
    CountGuard &operator=(const CountGuard &) = delete;

private:
    std::size_t &m_count;
};

} // namespace sapphirecove::transport
