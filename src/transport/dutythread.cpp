#include "transport/dutythread.h"

#include <pthread.h>

#include <utility>

namespace sapphirecove::transport {

DutyThread::DutyThread(std::string name)
    : m_name(std::move(name))
    , m_work(m_context.get_executor())
{
}

DutyThread::~DutyThread()
{
    stop();
}

void DutyThread::start()
{
    m_thread = std::thread([this] {
        pthread_setname_np(pthread_self(), m_name.c_str());
        m_context.run();
    });
}

void DutyThread::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace sapphirecove::transport
