#include "transport/portwait.h"

#include "transport/log.h"

#include <boost/asio/error.hpp>

#include <chrono>
#include <string>
#include <thread>

namespace sapphirecove::transport {

namespace {

/** Interval of the attempts to use a port. */
constexpr std::chrono::milliseconds BindInterval{ 50 };

} // namespace

boost::system::error_code
bindWhenFree(std::string_view endpoint, state::Duration wait, const std::function<boost::system::error_code()> &bind)
{
    using Clock = std::chrono::steady_clock;
    const auto start = Clock::now();
    boost::system::error_code error = bind();
    if (error != boost::asio::error::address_in_use || wait <= state::Duration::zero()) {
        return error;
    }
    logEvent("port_in_use", { { "endpoint", std::string(endpoint) } });
    while (error == boost::asio::error::address_in_use && Clock::now() - start < wait) {
        std::this_thread::sleep_for(BindInterval);
        error = bind();
    }
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start);
    logEvent("port_waited_for",
             { { "endpoint", std::string(endpoint) },
               { "waited_ms", std::to_string(waited.count()) },
               { "bound", error ? "no" : "yes" } });
    return error;
}

} // namespace sapphirecove::transport
