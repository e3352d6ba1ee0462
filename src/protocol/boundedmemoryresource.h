#pragma once

#include <boost/json/memory_resource.hpp>

#include <cstddef>

namespace sapphirecove::protocol {

/** Memory resource for parsing one JSON text; throws std::bad_alloc if more than its limit would be in use. */
class BoundedMemoryResource final : public boost::json::memory_resource
{
public:
    explicit BoundedMemoryResource(std::size_t limit)
        : m_limit(limit)
    {
    }

private:
    void *do_allocate(std::size_t bytes, std::size_t alignment) override;
    void do_deallocate(void *memory, std::size_t bytes, std::size_t alignment) override;
    bool do_is_equal(const boost::json::memory_resource &other) const noexcept override;

    std::size_t m_limit;
    std::size_t m_used = 0;
};

} // namespace sapphirecove::protocol
