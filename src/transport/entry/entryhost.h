#pragma once

#include "coordination/entry/fleetscheduler.h"
#include "protocol/entrysettings.h"
#include "state/failure.h"
#include "transport/entry/metadatastore.h"
#include "transport/entry/peerchannel.h"
#include "transport/entry/servingcontext.h"
#include "transport/entry/storefollower.h"
#include "transport/entry/wirecodec.h"
#include "transport/httpserver.h"
#include "transport/listener.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace sapphirecove::transport::entry {

class CallerSession;

/** Creates the client of the metadata store. */
using StoreFactory =
    std::function<std::unique_ptr<MetadataStore>(const boost::asio::any_io_executor &, const protocol::Endpoint &)>;

/** Reads the settings again after SIGHUP. */
using SettingsReader = std::function<state::Result<protocol::EntrySettings>()>;

/**
 * Entry host of a deployment that discovers its targets: accepts callers, forwards their requests, and follows the
 * metadata store and its peers. One thread serves; another one writes the log.
 */
class EntryHost : private coordination::entry::DecisionLink
{
public:
    /** Binds all listeners; fails if one cannot be bound. @p codec and @p clock must outlive the host. */
    static state::Result<std::unique_ptr<EntryHost>> create(const protocol::EntrySettings &settings,
                                                            const WireCodec &codec,
                                                            const TimeSource &clock,
                                                            const StoreFactory &storeFactory);
    ~EntryHost() override;

    /** Sets the function that reads the settings again after SIGHUP; without one the signal is only logged. */
    void setSettingsReader(SettingsReader reader);

    /** Serves until SIGTERM or SIGINT has ended the host, or stop() was called. */
    void run();

    /** Starts a graceful shutdown, as after SIGTERM; callable from any thread. */
    void beginStop();

    /** Ends run() at once; callable from any thread. */
    void stop();

private:
    EntryHost(const protocol::EntrySettings &settings,
              std::unique_ptr<coordination::entry::Scheduler> scheduler,
              coordination::entry::HostProcess process,
              const WireCodec &codec,
              const TimeSource &clock);

    state::Result<void> bind(const StoreFactory &storeFactory);
    void bindMetrics();
    void acceptCaller(boost::asio::ip::tcp::socket socket);
    void decided(coordination::entry::Decision decision) override;
    void send(const coordination::entry::DecisionRequest &decisionRequest,
              const coordination::entry::KnownHost &to) override;
    void send(const coordination::entry::AddressedReply &reply) override;
    void send(const coordination::entry::AttemptUpdate &update, const coordination::entry::KnownHost &to) override;
    void tick();
    void scheduleTick();
    void updatePeers(state::Time now);
    void logOutdatedPlacements();
    void logLearnedStatements(state::Time now);
    void logSuspectChanges();
    void logEvacuations();
    void logDeciderChange(state::Time now);
    void waitForSignal();
    void reload();
    void beginShutdown();
    void continueShutdown(state::Time now);
    bool ready() const;
    HttpResponse readinessResponse(const HttpRequest &request) const;
    HttpResponse metricsResponse(const HttpRequest &request) const;

    protocol::EntrySettings m_settings;
    boost::asio::io_context m_io{ 1 };
    std::unique_ptr<coordination::entry::Scheduler> m_scheduler;
    coordination::entry::FleetScheduler m_fleet;
    ServingContext m_context;
    std::unique_ptr<MetadataStore> m_store;
    std::unique_ptr<StoreFollower> m_follower;
    std::unique_ptr<PeerChannel> m_peers;
    std::unique_ptr<Listener> m_callerListener;
    std::unique_ptr<HttpServer> m_readiness;
    std::unique_ptr<HttpServer> m_metrics;
    boost::asio::steady_timer m_tick;
    boost::asio::signal_set m_signals;
    SettingsReader m_readSettings;
    std::string m_loggedDecider = "none"; /**< decider in the last log line about it */
    std::vector<std::weak_ptr<CallerSession>> m_sessions;
};

} // namespace sapphirecove::transport::entry
