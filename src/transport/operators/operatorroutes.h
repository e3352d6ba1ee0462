#pragma once

#include "transport/httpserver.h"
#include "transport/operators/hostsnapshot.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirecove::transport {

/** Whether the load balancer may send callers to this host. */
struct Readiness
{
    bool ready = false;
    std::string reason = "starting";
};

/** What the operators' routes can ask the host. */
class HostInspection
{
public:
    virtual ~HostInspection() = default;

    /** Returns the present readiness. */
    virtual Readiness readiness() const = 0;

    /** Returns the state of the host, or null if the decisions thread does not answer in time. */
    virtual boost::asio::awaitable<std::shared_ptr<const HostSnapshot>> snapshot() = 0;
};

/** One GET route of the operators' listener. */
struct OperatorRoute
{
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HostInspection &, const HttpRequest &)>;

    std::string_view path;
    bool needsKey = true;
    Handler handler;
};

/** Returns all routes. To add one, add it to the list in register.cpp. */
std::vector<OperatorRoute> operatorRoutes();

} // namespace sapphirecove::transport
