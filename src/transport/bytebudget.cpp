#include "transport/bytebudget.h"

#include <utility>

namespace sapphirecove::transport {

ByteBudget::ByteBudget(std::size_t limit)
    : m_limit(limit)
{
}

ByteBudget::Share *ByteBudget::largestOpenShare() const
{
    Share *largest = nullptr;
    for (Share *share : m_shares) {
        const bool open = !share->m_complete && !share->m_givenUp;
        if (open && (largest == nullptr || share->m_bytes > largest->m_bytes)) {
            largest = share;
        }
    }
    return largest;
}

void ByteBudget::giveUp(Share &share)
{
    share.m_givenUp = true;
    m_used -= std::exchange(share.m_bytes, 0);
    ++m_givenUp;
}

ByteBudget::Share::Share(std::shared_ptr<ByteBudget> budget, std::function<void()> giveUp)
    : m_budget(std::move(budget))
    , m_giveUp(std::move(giveUp))
{
    m_budget->m_shares.insert(this);
}

ByteBudget::Share::~Share()
{
    m_budget->m_used -= m_bytes;
    m_budget->m_shares.erase(this);
}

bool ByteBudget::Share::resize(std::size_t bytes)
{
    if (m_givenUp) {
        return false;
    }
    m_budget->m_used = m_budget->m_used - m_bytes + bytes;
    m_bytes = bytes;
    while (m_budget->m_used > m_budget->m_limit) {
        Share *largest = m_budget->largestOpenShare();
        if (largest == nullptr || largest == this) {
            m_budget->giveUp(*this);
            return false;
        }
        m_budget->giveUp(*largest);
        largest->m_giveUp();
    }
    return true;
}

void ByteBudget::Share::complete()
{
    m_complete = true;
}

} // namespace sapphirecove::transport
