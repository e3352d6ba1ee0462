#include "tests/coordination/fleetdriver.h"

#include <stdexcept>

namespace sapphirecove::coordination::test {

namespace {

constexpr state::Duration TickInterval = std::chrono::milliseconds(20);
constexpr state::Duration ListInterval = std::chrono::milliseconds(500);
constexpr state::Duration ServiceTime = std::chrono::milliseconds(120);

std::string hostName(std::size_t host)
{
    return "h" + std::to_string(host);
}

} // namespace

/** Accepts every document and returns the driver's configuration of that moment. */
class FleetDriver::Checker : public DocumentChecker
{
public:
    explicit Checker(const FleetDriver &driver)
        : m_driver(driver)
    {
    }

    state::Result<std::shared_ptr<const state::Configuration>> check(std::string_view) const override
    {
        return std::make_shared<const state::Configuration>(m_driver.configuration);
    }

private:
    const FleetDriver &m_driver;
};

struct FleetDriver::Host
{
    std::unique_ptr<Coordinator> coordinator;
    state::Incarnation incarnation = 0;
    std::map<state::Stream, std::size_t> positions;
    state::Time pausedUntil{};
    state::Time nextList{};
    bool alive = false;
    bool drained = false;
    std::vector<Event> held; /**< events that arrived during a pause */
};

FleetDriver::FleetDriver(std::size_t hosts, std::uint32_t seed, const FaultPlan &faults)
    : m_random(seed)
    , m_faults(faults)
    , m_checker(std::make_unique<Checker>(*this))
    , m_now(state::timeFromMicroseconds(1'800'000'000'000'000))
{
    configuration.failureDomains = { { "d", "r" } };
    configuration.tiers = { { 0, { 0, "urgent", {} } }, { 1, { 1, "normal", {} } }, { 2, { 2, "batch", {} } } };
    configuration.customers["c"].id = "c";
    configuration.pools["p"].id = "p";
    configuration.pools["p"].version = "v1";
    configuration.pools["p"].capacity.streams = 2;
    for (int i = 0; i < 3; ++i) {
        state::Target target;
        target.id = "t" + std::to_string(i);
        target.pool = "p";
        target.address = "127.0.0.1";
        target.port = 1;
        target.failureDomain = "d";
        configuration.targets[target.id] = target;
    }
    for (std::size_t i = 0; i < hosts; ++i) {
        m_hosts.push_back(std::make_unique<Host>());
        start(i);
    }
}

FleetDriver::~FleetDriver() = default;

void FleetDriver::publish()
{
    state::ConfigurationPublished record;
    record.publishId = "publish-" + std::to_string(m_published + 1);
    record.baseGeneration = m_published++;
    record.operatorName = "test";
    record.document = "{}";
    auto &stream = m_log[state::Stream::Configuration];
    stream.push_back(state::StoredRecord{ stream.size(), m_now, record });
}

void FleetDriver::run(state::Duration duration)
{
    const state::Time end = m_now + duration;
    while (m_now < end) {
        step();
    }
}

state::RequestId
FleetDriver::submit(std::size_t host, state::Tier tier, state::Duration deadline, const std::string &key)
{
    RequestInfo request;
    request.id = hostName(host) + '.' + std::to_string(++m_requestNumber);
    request.customer = "c";
    request.pool = "p";
    request.tier = tier;
    request.promptTokens = 20;
    request.maxOutputTokens = 4;
    request.deadline = m_now + deadline;
    if (!key.empty()) {
        request.idempotencyKey = key;
    }
    ObservedRequest observed;
    observed.info = request;
    observed.host = host;
    m_requests[request.id] = observed;
    deliver(host, RequestArrived{ request });
    return request.id;
}

void FleetDriver::kill(std::size_t host)
{
    m_hosts[host]->alive = false;
    m_hosts[host]->coordinator.reset();
    for (auto &[id, request] : m_requests) {
        if (request.host == host && request.answers == 0) {
            request.hostDied = true;
        }
    }
}

void FleetDriver::restart(std::size_t host)
{
    start(host);
}

void FleetDriver::pause(std::size_t host, state::Duration duration)
{
    m_hosts[host]->pausedUntil = m_now + duration;
}

void FleetDriver::drain(std::size_t host)
{
    deliver(host, DrainRequested{});
}

void FleetDriver::setLogUp(bool up)
{
    m_logUp = up;
}

void FleetDriver::setLeaving(const state::TargetId &target)
{
    m_leaving.insert(target);
}

void FleetDriver::cutBetween(const std::set<std::size_t> &side, bool cut)
{
    m_cutSide = cut ? side : std::set<std::size_t>();
}

state::Time FleetDriver::now() const
{
    return m_now;
}

StatusReport FleetDriver::status(std::size_t host) const
{
    return m_hosts[host]->coordinator->status(m_now);
}

bool FleetDriver::drained(std::size_t host) const
{
    return m_hosts[host]->drained;
}

bool FleetDriver::isAlive(std::size_t host) const
{
    return m_hosts[host]->alive;
}

const std::map<state::RequestId, ObservedRequest> &FleetDriver::requests() const
{
    return m_requests;
}

std::mt19937 &FleetDriver::random()
{
    return m_random;
}

void FleetDriver::start(std::size_t index)
{
    Host &host = *m_hosts[index];
    host = Host{};
    host.incarnation = static_cast<state::Incarnation>(state::toMicroseconds(m_now));
    CoordinatorOptions options;
    options.host = hostName(index);
    options.incarnation = host.incarnation;
    options.region = "r";
    options.failureDomain = "d";
    options.seed = m_random();
    host.coordinator = state::handleFailure(
        [&] {
            return Coordinator::create(options, *m_checker);
        },
        [](const state::Failure &failure) -> std::unique_ptr<Coordinator> {
            throw std::runtime_error(state::describe(failure));
        });
    host.alive = true;
}

void FleetDriver::step()
{
    m_now += TickInterval;
    while (!m_deliveries.empty() && m_deliveries.top().time <= m_now) {
        const Delivery delivery = m_deliveries.top();
        m_deliveries.pop();
        deliver(delivery.host, delivery.event);
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        Host &host = *m_hosts[i];
        if (!host.alive || host.pausedUntil > m_now) {
            continue;
        }
        for (const Event &event : std::exchange(host.held, {})) {
            deliver(i, event);
        }
        if (m_now >= host.nextList) {
            host.nextList = m_now + ListInterval;
            deliver(i, HostListRead{ list() });
        }
        readLog(i);
        deliver(i, Tick{});
    }
}

void FleetDriver::deliver(std::size_t index, const Event &event)
{
    Host &host = *m_hosts[index];
    if (!host.alive) {
        return;
    }
    if (host.pausedUntil > m_now) {
        host.held.push_back(event);
        return;
    }
    const std::span<const Action> actions = host.coordinator->handle(event, m_now);
    const Actions copy(actions.begin(), actions.end());
    for (const Action &action : copy) {
        perform(index, action);
    }
}

void FleetDriver::perform(std::size_t host, const Action &action)
{
    if (const auto *dispatch = std::get_if<Dispatch>(&action)) {
        performDispatch(host, *dispatch);
    } else if (const auto *refuse = std::get_if<Refuse>(&action)) {
        ObservedRequest &request = m_requests.at(refuse->request);
        ++request.answers;
        request.refusal = refuse->refusal;
    } else if (const auto *message = std::get_if<SendMessage>(&action)) {
        const auto to = static_cast<std::size_t>(std::stoul(message->to.substr(1)));
        if (isCut(host, to) || chance(m_faults.messageLoss)) {
            return;
        }
        const Envelope envelope{ hostName(host), m_hosts[host]->incarnation, { message->message } };
        const auto delay = [&] {
            return state::Duration(m_random() % (static_cast<std::uint64_t>(m_faults.maxMessageDelay.count()) + 1));
        };
        schedule(to, delay(), MessagesReceived{ envelope });
        if (chance(m_faults.messageRepeat)) {
            schedule(to, delay(), MessagesReceived{ envelope });
        }
    } else if (const auto *records = std::get_if<AppendRecords>(&action)) {
        append(*records);
    } else if (std::holds_alternative<DrainComplete>(action)) {
        m_hosts[host]->drained = true;
    }
}

void FleetDriver::performDispatch(std::size_t host, const Dispatch &dispatch)
{
    ObservedRequest &request = m_requests.at(dispatch.request);
    if (chance(m_faults.connectRefusal)) {
        schedule(host, TickInterval, DispatchRefused{ dispatch.request, dispatch.grant, "refused" });
        return;
    }
    ++request.starts;
    request.startedAt = m_now;
    request.target = dispatch.target;
    schedule(host, state::Duration(0), DispatchStarted{ dispatch.request, dispatch.grant });
    schedule(host, ServiceTime / 2, FirstTokenReceived{ dispatch.request });
    DispatchFinished finished;
    finished.request = dispatch.request;
    finished.grant = dispatch.grant;
    finished.outcome = chance(m_faults.answerCut) ? GrantOutcome::Interrupted : GrantOutcome::Complete;
    finished.status = 200;
    finished.promptTokens = 20;
    finished.outputTokens = 4;
    finished.timeToFirstToken = ServiceTime / 2;
    finished.total = ServiceTime;
    schedule(host, ServiceTime, finished);
}

void FleetDriver::append(const AppendRecords &records)
{
    if (!m_logUp || chance(m_faults.appendLoss)) {
        return;
    }
    auto &stream = m_log[records.stream];
    const int copies = chance(m_faults.appendRepeat) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        for (const state::LogRecord &record : records.records) {
            stream.push_back(state::StoredRecord{ stream.size(), m_now, record });
        }
    }
}

void FleetDriver::schedule(std::size_t host, state::Duration delay, Event event)
{
    m_deliveries.push(Delivery{ m_now + delay, ++m_order, host, std::move(event) });
}

void FleetDriver::readLog(std::size_t index)
{
    Host &host = *m_hosts[index];
    for (const auto stream :
         { state::Stream::Configuration, state::Stream::Claims, state::Stream::Leases, state::Stream::Versions }) {
        if (!m_logUp) {
            deliver(index, LogUnavailable{ stream });
            continue;
        }
        const auto &records = m_log[stream];
        std::size_t &position = host.positions[stream];
        RecordsRead read;
        read.stream = stream;
        read.records.assign(records.begin() + static_cast<std::ptrdiff_t>(position), records.end());
        position = records.size();
        read.next = position;
        read.atEnd = true;
        deliver(index, read);
    }
}

state::HostList FleetDriver::list() const
{
    state::HostList result;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        result.hosts.push_back(state::ListedHost{ hostName(i), "127.0.0.1", 1, "r", "d", state::ListedState::Live });
    }
    for (const auto &[id, target] : configuration.targets) {
        const bool leaving = m_leaving.contains(id);
        result.targets.push_back({ id, leaving ? state::ListedState::Leaving : state::ListedState::Live });
    }
    return result;
}

bool FleetDriver::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

bool FleetDriver::isCut(std::size_t left, std::size_t right) const
{
    return !m_cutSide.empty() && m_cutSide.contains(left) != m_cutSide.contains(right);
}

} // namespace sapphirecove::coordination::test
