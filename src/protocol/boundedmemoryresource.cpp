#include "protocol/boundedmemoryresource.h"

#include <new>

namespace sapphirecove::protocol {

// Boost.JSON never requests an alignment above the default of operator new.
void *BoundedMemoryResource::do_allocate(std::size_t bytes, std::size_t /*alignment*/)
{
    if (bytes > m_limit - m_used) {
        throw std::bad_alloc();
    }
    void *memory = ::operator new(bytes);
    m_used += bytes;
    return memory;
}

void BoundedMemoryResource::do_deallocate(void *memory, std::size_t bytes, std::size_t /*alignment*/)
{
    m_used -= bytes;
    ::operator delete(memory);
}

bool BoundedMemoryResource::do_is_equal(const boost::json::memory_resource &other) const noexcept
{
    return this == &other;
}

} // namespace sapphirecove::protocol
