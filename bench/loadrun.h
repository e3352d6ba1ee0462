#pragma once

#include "bench/arrivals.h"
#include "bench/connectionpool.h"
#include "bench/loadcall.h"

#include <boost/asio/steady_timer.hpp>

namespace sapphirecove::load {

/** Options of a load run. */
struct RunOptions
{
    std::vector<ConnectionPool::Host> hosts;
    RateShape shape = RateShape::Constant;
    double rate = 20; /**< requests per second */
    double duration = 30; /**< seconds */
    std::uint64_t seed = 1;
    std::size_t maxInFlight =
        4000; /**< further arrivals are counted as not sent; bounds the resources of this process */
};

/** Open-loop run: each request is sent at its arrival time, whether or not earlier requests have completed. */
class LoadRun
{
public:
    LoadRun(RunOptions options, Workload workload);

    /** Sends all requests and waits until they have completed or failed. */
    void run();

    const Statistics &statistics() const
    {
        return m_statistics;
    }
    /** Returns the number of arrivals that were not sent because RunOptions::maxInFlight was reached. */
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
