#include "transport/peers/messagequeue.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace sapphirecove::transport {

void MessageQueue::push(coordination::Message message)
{
    if (m_messages.size() >= Capacity) {
        const auto heartbeat = std::find_if(m_messages.begin(), m_messages.end(), [](const auto &queued) {
            return std::holds_alternative<coordination::Heartbeat>(queued);
        });
        m_messages.erase(heartbeat == m_messages.end() ? m_messages.begin() : heartbeat);
        ++m_dropped;
    }
    m_messages.push_back(std::move(message));
}

std::vector<coordination::Message> MessageQueue::takeBatch()
{
    const auto end = m_messages.begin() + static_cast<std::ptrdiff_t>(std::min(BatchSize, m_messages.size()));
    std::vector<coordination::Message> batch(std::make_move_iterator(m_messages.begin()), std::make_move_iterator(end));
    m_messages.erase(m_messages.begin(), end);
    return batch;
}

} // namespace sapphirecove::transport
