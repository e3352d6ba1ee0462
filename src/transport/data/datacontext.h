#pragma once

#include "coordination/event.h"
#include "state/time.h"
#include "transport/bytebudget.h"
#include "transport/systemclock.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sapphirecove::transport {

/** Limits of the listener for callers; the defaults equal those of the settings. */
struct DataLimits
{
    std::size_t connections = 4096;
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = std::uint64_t{ 8 } * 1024 * 1024;
    /** Time-out of a request header; that of a body is this plus a time for its declared length. */
    state::Duration receiveTimeout = std::chrono::seconds(10);
    std::size_t streamBufferBytes = 65536; /**< of a response that is buffered for one caller */
    std::size_t requests = 4096; /**< accepted requests without a complete response */
    /** What may be kept of all responses together: a quarter of the memory that a host is designed for. */
    std::size_t responseBytes = std::size_t{ 64 } * 1024 * 1024;
};

/** Services and limits that the classes of the data thread share. */
struct DataContext
{
    boost::asio::any_io_executor executor;
    const TimeSource &clock;
    DataLimits limits;
    std::function<void(coordination::Event)> send; /**< sends an event to the decisions thread; never drops it */
    std::shared_ptr<ByteBudget> responseBytes = std::make_shared<ByteBudget>(limits.responseBytes);
};

} // namespace sapphirecove::transport
