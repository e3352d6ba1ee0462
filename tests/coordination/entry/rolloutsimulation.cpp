#include "tests/coordination/entry/rolloutsimulation.h"

#include "coordination/random.h"

#include <map>
#include <random>
#include <vector>

namespace sapphirecove::tests::entry {

namespace {

constexpr state::Duration Step = std::chrono::milliseconds(10);
constexpr state::Duration EvaluationInterval = std::chrono::milliseconds(50);
constexpr state::Duration ReportInterval = std::chrono::milliseconds(300);
constexpr double UsualMs = 30;
constexpr int TargetsOfEachVersion = 3;

/** Request that was sent to a target. */
struct Sent
{
    state::Time ends{};
    ScheduledRequest request;
    std::string target;
    bool good = true;
    bool isFaulty = false;
    bool toNew = false;
};

class Simulation
{
public:
    explicit Simulation(const RolloutScenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        std::uint32_t processes = 0;
        for (const char *host : { "first", "second" }) {
            Decider &decider = m_deciders.emplace_back(Decider{ host, makeScheduler({}, ++processes), {}, 0 });
            for (int i = 0; i < TargetsOfEachVersion; ++i) {
                for (const char *version : { "v1", "v2" }) {
                    state::entry::TargetEntry entry = makeTarget(std::string(version) + '-' + std::to_string(i), 6);
                    entry.service = "orders";
                    entry.softwareVersion = version;
                    decider.scheduler->targets().listed(entry);
                }
            }
            decider.scheduler->rollouts().ordered({ "orders", "v2", scenario.orderSeconds }, Start);
        }
        const state::entry::RolloutStatus running{ "orders", "v2", state::entry::RolloutState::Running };
        m_deciders[0].scheduler->rollouts().announced(running);
        m_deciders[1].scheduler->rollouts().published(running, Start);
    }

    RolloutOutcome run()
    {
        const state::Time deadline = Start + state::durationFromSeconds(m_scenario.orderSeconds);
        for (state::Time now = Start; now < deadline; now += Step) {
            const double elapsed = state::toSeconds(now - Start);
            if (m_scenario.deciderDiesAtSeconds && elapsed >= *m_scenario.deciderDiesAtSeconds && m_active == 0) {
                takeOver(now);
            }
            finishDue(now);
            arrive(now);
            place(now);
            if ((now - Start) % ReportInterval == state::Duration::zero() && m_active == 0) {
                report(now);
            }
            if ((now - Start) % EvaluationInterval == state::Duration::zero()) {
                evaluate(now);
            }
        }
        return m_outcome;
    }

private:
    struct Decider
    {
        std::string host;
        std::unique_ptr<Scheduler> scheduler;
        std::map<std::uint64_t, Sent> running;
        std::uint32_t reports = 0;
    };

    Decider &active()
    {
        return m_deciders[m_active];
    }

    double uniform()
    {
        return m_uniform(m_random);
    }

    /** The requests that the first decider had placed are lost with it. */
    void takeOver(state::Time now)
    {
        m_active = 1;
        auto &scheduler = *active().scheduler;
        scheduler.peers().expire(scheduler.targets(), now + PeerTable::LiveFor + PeerTable::LiveFor);
        scheduler.targetsChanged(now);
    }

    void report(state::Time now)
    {
        Decider &sender = m_deciders[0];
        auto &receiver = *m_deciders[1].scheduler;
        PeerReport report;
        report.host = sender.host;
        report.incarnation = 1;
        report.sequence = ++sender.reports;
        sender.scheduler->fillReport(report, now);
        receiver.peers().receive(std::move(report), receiver.targets(), now);
        receiver.evaluateRollouts(false, now);
    }

    void arrive(state::Time now)
    {
        std::poisson_distribution<int> count(m_scenario.requestsPerSecond * state::toSeconds(Step));
        for (int i = count(m_random); i > 0; --i) {
            ScheduledRequest request = makeRequest(++m_lastId, 0, 0, now);
            request.service = "orders";
            request.route = uniform() < 0.7 ? "submit" : "status";
            request.model = false;
            request.pauseTarget = {};
            request.latencyTarget = std::chrono::milliseconds(150);
            request.parts = { requestSuspect(m_lastId) };
            m_faulty[m_lastId] = uniform() < m_scenario.faultyRequestShare;
            active().scheduler->enqueue(request, now);
            m_requests[m_lastId] = std::move(request);
        }
    }

    void place(state::Time now)
    {
        for (const Decision &decision : active().scheduler->decide(now)) {
            const auto found = m_requests.find(decision.request);
            if (!decision.refusal && found != m_requests.end()) {
                send(decision, found->second, now);
            }
            m_requests.erase(decision.request);
        }
    }

    void send(const Decision &decision, const ScheduledRequest &request, state::Time now)
    {
        Sent sent;
        sent.request = request;
        sent.target = decision.target.id;
        sent.toNew = decision.target.softwareVersion == "v2";
        sent.isFaulty = m_faulty[request.id];
        Behaviour behaviour;
        if (sent.toNew && m_scenario.newVersion) {
            behaviour = m_scenario.newVersion(request.route, state::toSeconds(now - Start));
        }
        sent.good = !sent.isFaulty && uniform() >= behaviour.failureShare;
        sent.ends = now + state::durationFromMilliseconds(UsualMs * behaviour.slowness * (0.6 + 0.8 * uniform()));
        m_outcome.sentToAll += 1;
        m_outcome.sentToNew += sent.toNew ? 1 : 0;
        m_outcome.failedAtNew += sent.toNew && !sent.good ? 1 : 0;
        active().running[request.id] = std::move(sent);
    }

    /** Ends the requests whose answer is due, and sends failed ones once more. */
    void finishDue(state::Time now)
    {
        auto &running = active().running;
        for (auto next = running.begin(); next != running.end();) {
            if (next->second.ends > now) {
                ++next;
                continue;
            }
            const Sent sent = std::move(next->second);
            next = running.erase(next);
            const AttemptOutcome outcome = sent.good ? AttemptOutcome::Served : AttemptOutcome::ServerError;
            active().scheduler->finished(sent.request.id, outcome, 0, now);
            if (sent.good || !sent.request.excludedTargets.empty()) {
                continue;
            }
            ScheduledRequest repeat = sent.request;
            repeat.id = ++m_lastId;
            repeat.excludedTargets = { sent.target };
            m_faulty[repeat.id] = sent.isFaulty;
            active().scheduler->enqueue(repeat, now);
            m_requests[repeat.id] = std::move(repeat);
        }
    }

    void evaluate(state::Time now)
    {
        for (const auto &change : active().scheduler->evaluateRollouts(true, now)) {
            record(change, now);
        }
        for (const auto &progress : active().scheduler->rollouts().takeProgress()) {
            m_outcome.reason = std::string(progress.reason) + ' ' + progress.route + " good "
                + std::to_string(static_cast<int>(progress.counts.target.good)) + " of "
                + std::to_string(static_cast<int>(progress.counts.target.dispatched));
        }
    }

    void record(const state::entry::RolloutStatus &change, state::Time now)
    {
        if (m_outcome.state != state::entry::RolloutState::Running) {
            return;
        }
        m_outcome.state = change.state;
        m_outcome.endedAtSeconds = state::toSeconds(now - Start);
        for (Decider &decider : m_deciders) {
            decider.scheduler->rollouts().published(change, now);
        }
    }

    RolloutScenario m_scenario;
    coordination::Random m_random;
    std::uniform_real_distribution<double> m_uniform{ 0, 1 };
    std::vector<Decider> m_deciders;
    std::size_t m_active = 0;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, ScheduledRequest> m_requests; /**< that wait */
    std::map<std::uint64_t, bool> m_faulty; /**< by id, whether the request fails at every target */
    RolloutOutcome m_outcome;
};

} // namespace

RolloutOutcome simulateRollout(const RolloutScenario &scenario)
{
    return Simulation(scenario).run();
}

} // namespace sapphirecove::tests::entry
