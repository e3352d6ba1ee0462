#include "transport/host.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace sapphirecove::transport {

namespace asio = boost::asio;

namespace {

/** Capacity of each ring in items; a longer burst of requests or messages causes back-pressure. */
constexpr std::size_t RingCapacity = 8192;

constexpr std::size_t QueryCapacity = 256;

coordination::CoordinatorOptions optionsOf(const protocol::Settings &settings, state::Time now)
{
    coordination::CoordinatorOptions options;
    options.host = settings.host.id;
    options.incarnation = static_cast<state::Incarnation>(state::toMicroseconds(now));
    options.region = settings.host.region;
    options.failureDomain = settings.host.failureDomain;
    options.placement = settings.placement;
    options.seed = settings.seed;
    options.drainTimeout = settings.drainTimeout;
    options.claimRetention = settings.platform.logRetention;
    return options;
}

DataLimits limitsOf(const protocol::ListenerLimits &settings)
{
    DataLimits limits;
    limits.connections = static_cast<std::size_t>(settings.maxConnections);
    limits.headerBytes = static_cast<std::uint32_t>(settings.maxHeaderBytes);
    limits.bodyBytes = static_cast<std::uint64_t>(settings.maxBodyBytes);
    limits.receiveTimeout = settings.slowSenderTimeout;
    limits.streamBufferBytes = static_cast<std::size_t>(settings.streamBufferBytes);
    limits.requests = static_cast<std::size_t>(settings.maxRequests);
    return limits;
}

state::Result<std::unique_ptr<Listener>> listen(IoThread &thread, const protocol::Endpoint &endpoint)
{
    return Listener::create(thread.context(), endpoint.address, endpoint.port);
}

/** Posts @p function to @p thread. */
template <typename Function>
void runOn(IoThread &thread, Function function)
{
    asio::post(thread.context(), std::move(function));
}

} // namespace

Host::Host()
    : m_dataEvents(RingCapacity)
    , m_peersEvents(RingCapacity)
    , m_platformEvents(RingCapacity)
    , m_queries(QueryCapacity)
    , m_dataActions(RingCapacity)
    , m_peersActions(RingCapacity)
    , m_platformActions(RingCapacity)
    , m_operatorsUpdates(QueryCapacity)
{
}

Host::~Host()
{
    stop();
}

state::Result<std::unique_ptr<Host>>
Host::create(const protocol::Settings &settings, const HostKeys &keys, const CoordinatorFactory &factory)
{
    std::unique_ptr<Host> host(new Host());
    if (auto assembled = host->assemble(settings, keys, factory); !assembled) {
        return assembled.error();
    }
    return host;
}

state::Result<void>
Host::assemble(const protocol::Settings &settings, const HostKeys &keys, const CoordinatorFactory &factory)
{
    const auto options = optionsOf(settings, m_clock.now());
    BOOST_LEAF_AUTO(coordinator, factory(options, m_checker));
    BOOST_LEAF_AUTO(operators, listen(m_operatorsThread, settings.listen.operators));
    BOOST_LEAF_AUTO(peers, listen(m_peersThread, settings.listen.peers));
    // The last one: callers that connect while this process waits for another port would get no answer.
    BOOST_LEAF_AUTO(callers, listen(m_dataThread, settings.listen.callers));
    const DecisionRings rings{ m_dataActions, m_peersActions, m_platformActions, m_operatorsUpdates };
    m_decisions =
        std::make_unique<DecisionsService>(m_decisionsThread.context(), m_clock, std::move(coordinator), rings, [this] {
            onDrainComplete();
        });
    const std::string idPrefix = options.host + '.' + std::to_string(options.incarnation);
    m_data = std::make_unique<DataService>(
        m_dataThread.context(), std::move(callers), m_clock, limitsOf(settings.limits), idPrefix, m_dataEvents);
    const PeerIdentity identity{ options.host, options.incarnation, keys.fleet };
    m_peers = std::make_unique<PeersService>(m_peersThread.context(), std::move(peers), identity, m_peersEvents);
    m_platform = std::make_unique<PlatformService>(
        m_platformThread.context(), settings.platform, settings.seed ^ options.incarnation, m_platformEvents);
    m_operators = std::make_unique<OperatorsService>(
        m_operatorsThread.context(), std::move(operators), keys.operators, m_queries);
    connectRings();
    return {};
}

void Host::connectRings()
{
    const auto handleEvent = [this](coordination::Event &&event) {
        m_decisions->handle(event);
    };
    m_dataEvents.setConsumer(m_decisionsThread.context(), handleEvent);
    m_peersEvents.setConsumer(m_decisionsThread.context(), handleEvent);
    m_platformEvents.setConsumer(m_decisionsThread.context(), handleEvent);
    m_queries.setConsumer(m_decisionsThread.context(), [this](SnapshotQuery &&query) {
        m_decisions->answer(query);
    });
    m_dataActions.setConsumer(m_dataThread.context(), [this](coordination::Action &&action) {
        m_data->apply(std::move(action));
    });
    m_peersActions.setConsumer(m_peersThread.context(), [this](coordination::Action &&action) {
        m_peers->send(std::get<coordination::SendMessage>(std::move(action)));
    });
    m_platformActions.setConsumer(m_platformThread.context(), [this](coordination::Action &&action) {
        m_platform->apply(std::move(action));
    });
    m_operatorsUpdates.setConsumer(m_operatorsThread.context(), [this](OperatorsUpdate &&update) {
        m_operators->apply(std::move(update));
    });
}

void Host::start()
{
    m_decisions->start();
    m_data->start();
    m_peers->start();
    m_platform->start();
    m_operators->start();
    m_decisionsThread.start();
    m_dataThread.start();
    m_peersThread.start();
    m_platformThread.start();
    m_operatorsThread.start();
}

void Host::drain(std::function<void()> onComplete)
{
    runOn(m_operatorsThread, [this] {
        m_operators->drain();
    });
    runOn(m_decisionsThread, [this, onComplete = std::move(onComplete)] {
        m_onDrained = onComplete;
        m_decisions->handle(coordination::DrainRequested{});
        runOn(m_dataThread, [this] {
            m_data->drain();
        });
    });
}

void Host::stop()
{
    m_dataThread.stop();
    m_peersThread.stop();
    m_platformThread.stop();
    m_operatorsThread.stop();
    m_decisionsThread.stop();
}

void Host::onDrainComplete()
{
    // The decisions thread completes a request before its last bytes have been written to the caller.
    runOn(m_dataThread, [this, onDrained = m_onDrained] {
        m_data->whenIdle(onDrained);
    });
}

} // namespace sapphirecove::transport
