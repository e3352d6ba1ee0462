#pragma once

#include <chrono>
#include <thread>

namespace sapphirecove::integration {

/** Long enough for a busy machine; only a failing test waits this long, a passing one continues at once. */
constexpr auto DefaultWaitTimeout = std::chrono::seconds(20);

/** Waits until @p condition holds; returns whether it did before @p timeout elapsed. */
template <typename Condition>
bool waitFor(Condition &&condition, std::chrono::milliseconds timeout = DefaultWaitTimeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

} // namespace sapphirecove::integration
