#include "transport/systemclock.h"

namespace sapphirecove::transport {

SystemClock::SystemClock()
    : m_steadyStart(std::chrono::steady_clock::now())
    , m_start(std::chrono::duration_cast<state::Duration>(std::chrono::system_clock::now().time_since_epoch()))
{
}

state::Time SystemClock::now() const
{
    return m_start + std::chrono::duration_cast<state::Duration>(std::chrono::steady_clock::now() - m_steadyStart);
}

} // namespace sapphirecove::transport
