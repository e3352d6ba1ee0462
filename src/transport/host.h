#pragma once

#include "coordination/coordinator.h"
#include "protocol/configurationreader.h"
#include "protocol/settings.h"
#include "transport/data/dataservice.h"
#include "transport/decisions/decisionsservice.h"
#include "transport/iothread.h"
#include "transport/operators/operatorsservice.h"
#include "transport/outside/platformservice.h"
#include "transport/peers/peersservice.h"

#include <functional>
#include <memory>
#include <string>

namespace sapphirecove::transport {

/** Bearer keys of one host. */
struct HostKeys
{
    std::string operators;
    std::string fleet;
};

/** Makes the decisions of a host; Coordinator::create, or another function in tests. */
using CoordinatorFactory = std::function<state::Result<std::unique_ptr<coordination::Coordinator>>(
    const coordination::CoordinatorOptions &, const coordination::DocumentChecker &)>;

/**
 * One running host: a thread for each duty and the rings between them. start(), drain() and stop() are called by the
 * thread that created it.
 */
class Host
{
public:
    /** Binds the three listeners. Fails if one of them cannot be bound or the options are wrong. */
    static state::Result<std::unique_ptr<Host>>
    create(const protocol::Settings &settings, const HostKeys &keys, const CoordinatorFactory &factory);

    ~Host();

    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    /** Starts all threads. */
    void start();

    /**
     * Starts a graceful shutdown: readiness is withdrawn, new requests are refused, accepted ones are finished.
     * @p onComplete is called on some thread of the host once every accepted request has been answered.
     */
    void drain(std::function<void()> onComplete);

    /** Stops all threads at once. */
    void stop();

    std::uint16_t callersPort() const
    {
        return m_data->port();
    }

    std::uint16_t operatorsPort() const
    {
        return m_operators->port();
    }

    std::uint16_t peersPort() const
    {
        return m_peers->port();
    }

private:
    Host();
    state::Result<void>
    assemble(const protocol::Settings &settings, const HostKeys &keys, const CoordinatorFactory &factory);
    void connectRings();
    void onDrainComplete();

    SystemClock m_clock;
    protocol::ConfigurationReader m_checker;
    std::function<void()> m_onDrained;
    IoThread m_decisionsThread{ "decisions" };
    IoThread m_dataThread{ "data" };
    IoThread m_peersThread{ "peers" };
    IoThread m_platformThread{ "platform" };
    IoThread m_operatorsThread{ "operators" };
    Ring<coordination::Event> m_dataEvents;
    Ring<coordination::Event> m_peersEvents;
    Ring<coordination::Event> m_platformEvents;
    Ring<SnapshotQuery> m_queries;
    Ring<coordination::Action> m_dataActions;
    Ring<coordination::Action> m_peersActions;
    Ring<coordination::Action> m_platformActions;
    Ring<OperatorsUpdate> m_operatorsUpdates;
    std::unique_ptr<DecisionsService> m_decisions;
    std::unique_ptr<DataService> m_data;
    std::unique_ptr<PeersService> m_peers;
    std::unique_ptr<PlatformService> m_platform;
    std::unique_ptr<OperatorsService> m_operators;
};

} // namespace sapphirecove::transport
