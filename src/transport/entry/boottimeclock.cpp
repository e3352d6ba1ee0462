#include "transport/entry/boottimeclock.h"

#include <ctime>

namespace sapphirecove::transport::entry {

state::Time BootTimeClock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return state::Time(std::chrono::duration_cast<state::Duration>(std::chrono::seconds(time.tv_sec)
                                                                   + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace sapphirecove::transport::entry
