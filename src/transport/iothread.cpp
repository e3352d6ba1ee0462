#include "transport/iothread.h"

#include <pthread.h>

#include <utility>

namespace sapphirecove::transport {

IoThread::IoThread(std::string name)
    : m_name(std::move(name))
    , m_work(m_context.get_executor())
{
}

IoThread::~IoThread()
{
    stop();
}

void IoThread::start()
{
    m_thread = std::thread([this] {
        pthread_setname_np(pthread_self(), m_name.c_str());
        m_context.run();
    });
}

void IoThread::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace sapphirecove::transport
