#include "transport/data/readahead.h"

#include <boost/asio/bind_cancellation_slot.hpp>

#include <algorithm>
#include <utility>

namespace sapphirecove::transport {

namespace {

constexpr std::size_t ReadBytes = 4096;

} // namespace

ReadAhead::ReadAhead(boost::asio::ip::tcp::socket &socket, boost::beast::flat_buffer &buffer, std::size_t limit)
    : m_socket(socket)
    , m_buffer(buffer)
    , m_limit(limit)
    , m_finished(socket.get_executor())
{
}

void ReadAhead::start(std::function<void()> onClosed)
{
    m_onClosed = std::move(onClosed);
    m_stopping = false;
    read();
}

boost::asio::awaitable<void> ReadAhead::stop()
{
    m_stopping = true;
    m_cancel.emit(boost::asio::cancellation_type::terminal);
    co_await m_finished.wait([this] {
        return !m_reading;
    });
}

void ReadAhead::read()
{
    if (m_buffer.size() >= m_limit) {
        return;
    }
    m_reading = true;
    const auto space = m_buffer.prepare(std::min(ReadBytes, m_limit - m_buffer.size()));
    m_socket.async_read_some(space,
                             boost::asio::bind_cancellation_slot(
                                 m_cancel.slot(), [this](const boost::system::error_code &error, std::size_t bytes) {
                                     finish(error, bytes);
                                 }));
}

void ReadAhead::finish(const boost::system::error_code &error, std::size_t bytes)
{
    m_reading = false;
    m_buffer.commit(bytes);
    if (m_stopping) {
        m_finished.notify();
        return;
    }
    if (error) {
        m_onClosed();
        return;
    }
    read();
}

} // namespace sapphirecove::transport
