#include "bench/loadrun.h"

namespace sapphirecove::load {

LoadRun::LoadRun(RunOptions options, Workload workload)
    : m_options(std::move(options))
    , m_workload(std::move(workload))
    , m_arrivals(m_options.shape, m_options.rate, m_options.duration, m_options.seed)
    , m_pool(m_context, std::move(m_options.hosts))
    , m_timer(m_context)
{
}

void LoadRun::run()
{
    m_start = ConnectionPool::Clock::now();
    scheduleNext();
    m_context.run();
}

void LoadRun::scheduleNext()
{
    const double time = m_arrivals.next();
    if (time < 0) {
        return;
    }
    m_timer.expires_at(m_start + std::chrono::microseconds(static_cast<std::int64_t>(time * 1e6)));
    m_timer.async_wait([this](boost::system::error_code) {
        sendNext();
        scheduleNext();
    });
}

void LoadRun::sendNext()
{
    auto request = m_workload.next();
    if (m_inFlight >= m_options.maxInFlight) {
        ++m_skipped;
        return;
    }
    ++m_inFlight;
    std::make_shared<LoadCall>(m_pool, std::move(request), m_start, [this](CallResult result) {
        --m_inFlight;
        m_statistics.add(std::move(result));
    })->start();
}

} // namespace sapphirecove::load
