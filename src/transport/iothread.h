#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <string>
#include <thread>

namespace sapphirecove::transport {

/** Thread with a name that runs one io_context until it is stopped. */
class IoThread
{
public:
    /** Prepares the thread; @p name has at most 15 characters, the limit of the operating system. */
    explicit IoThread(std::string name);
    ~IoThread();

    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;

    /** Starts the thread; work posted earlier runs then. */
    void start();

    /** Stops the io_context and waits for the thread; handlers that have not run are dropped. */
    void stop();

    boost::asio::io_context &context()
    {
        return m_context;
    }

private:
    std::string m_name;
    boost::asio::io_context m_context{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace sapphirecove::transport
