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

/** Operators' listener: health, metrics and status. Belongs to the operators thread. */
class OperatorsService : public HostInspection
{
public:
    OperatorsService(boost::asio::io_context &context,
                     std::unique_ptr<Listener> listener,
                     std::string key,
                     Ring<SnapshotQuery> &queries);

    /** Starts to accept connections. */
    void start();

    /** Takes news of the decisions thread. */
    void apply(OperatorsUpdate update);

    /** Answers the readiness endpoint with 503 from now on. */
    void drain();

    Readiness readiness() const override;
    boost::asio::awaitable<std::shared_ptr<const HostSnapshot>> snapshot() override;

    /** Port that is listened on. */
    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    /** Query that waits for its answer. */
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
