#pragma once

#include "coordination/event.h"
#include "state/time.h"
#include "transport/systemclock.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace sapphirecove::transport {

/** Limits of the callers' listener; the defaults are those of the settings. */
struct DataLimits
{
    std::size_t connections = 4096;
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = std::uint64_t{ 8 } * 1024 * 1024;
    state::Duration receiveTimeout =
        std::chrono::seconds(10); /**< for the header, and for the body besides its bytes */
    std::size_t streamBufferBytes = 65536; /**< of an answer held for one caller */
    std::size_t requests = 4096; /**< accepted and not answered */
};

/** What the parts of the data thread share. */
struct DataContext
{
    boost::asio::any_io_executor executor;
    const TimeSource &clock;
    DataLimits limits;
    std::function<void(coordination::Event)> send; /**< passes an event to the decisions thread; never loses it */
};

} // namespace sapphirecove::transport
