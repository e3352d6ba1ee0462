#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sapphirecove::transport {

/** Condition variable for coroutines of one thread. */
class Signal
{
public:
    explicit Signal(const boost::asio::any_io_executor &executor)
        : m_timer(executor, boost::asio::steady_timer::time_point::max())
    {
    }

    boost::asio::any_io_executor executor()
    {
        return m_timer.get_executor();
    }

    /** Resumes the waiting coroutine after the current handler, so that it sees all changes made by the handler. */
    void notify()
    {
        m_timer.cancel();
    }

    /** Waits until @p condition holds; it is checked now and after each notify(). */
    template <typename Condition>
    boost::asio::awaitable<void> wait(Condition condition)
    {
        while (!condition()) {
            boost::system::error_code ignored;
            co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
    }

private:
    boost::asio::steady_timer m_timer;
};

} // namespace sapphirecove::transport
