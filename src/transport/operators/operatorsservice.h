#pragma once

#include "transport/operators/operatorroutes.h"
#include "transport/outbox.h"
#include "transport/signal.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphirecove::transport {

/** Serves health, metrics and status to operators. Runs on the operators thread. */
class OperatorsService : public HostInspection
{
public:
    OperatorsService(boost::asio::io_context &context,
                     std::unique_ptr<Listener> listener,
                     std::string key,
                     Ring<SnapshotQuery> &queries);

    /** Starts accepting connections. */
    void start();

    /** Applies an update from the decisions thread. */
    void apply(OperatorsUpdate update);

    /** Makes the readiness endpoint respond with 503 from now on. */
    void drain();

    Readiness readiness() const override;
    boost::asio::awaitable<std::shared_ptr<const HostSnapshot>> snapshot() override;

    /** Port that the service listens on. */
    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    /** Snapshot query that has not been answered yet. */
    struct Pending
    {
        explicit Pending(const boost::asio::any_io_executor &executor)
            : signal(executor)
        {
        }

        Signal signal;
        std::shared_ptr<const HostSnapshot> snapshot;
        bool expired = false;
    };

    boost::asio::awaitable<HttpResponse> answer(const HttpRequest &request);

    boost::asio::io_context &m_context;
    std::string m_key;
    Outbox<SnapshotQuery> m_queries;
    std::vector<OperatorRoute> m_routes;
    HttpServer m_server;
    Readiness m_readiness;
    std::map<std::uint64_t, std::shared_ptr<Pending>> m_pending;
    std::uint64_t m_lastQuery = 0;
    bool m_draining = false;
};

} // namespace sapphirecove::transport
