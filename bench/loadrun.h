#pragma once

#include "bench/arrivals.h"
#include "bench/connectionpool.h"
#include "bench/loadcall.h"

#include <boost/asio/steady_timer.hpp>

namespace sapphirecove::load {

/** What a run sends. */
struct RunOptions
{
    std::vector<ConnectionPool::Host> hosts;
    RateShape shape = RateShape::Constant;
    double rate = 20; /**< requests per second */
    double duration = 30; /**< seconds */
    std::uint64_t seed = 1;
    std::size_t maxInFlight = 4000; /**< arrivals above are counted as not sent, to bound the process */
};

/** Open-loop run: requests are sent when they arrive, whether or not those before them have been answered. */
class LoadRun
{
public:
    LoadRun(RunOptions options, Workload workload);

    /** Sends all requests and waits for their ends. */
    void run();

    const Statistics &statistics() const
    {
        return m_statistics;
    }
    /** Arrivals that were not sent because too many requests were in progress. */
    std::size_t skipped() const
    {
        return m_skipped;
    }

private:
    void scheduleNext();
    void sendNext();

    RunOptions m_options;
    Workload m_workload;
    boost::asio::io_context m_context{ 1 };
    Arrivals m_arrivals;
    ConnectionPool m_pool;
    boost::asio::steady_timer m_timer;
    ConnectionPool::Clock::time_point m_start;
    Statistics m_statistics;
    std::size_t m_inFlight = 0;
    std::size_t m_skipped = 0;
};

} // namespace sapphirecove::load
