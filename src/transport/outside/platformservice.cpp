#include "transport/outside/platformservice.h"

#include "protocol/platformcodec.h"
#include "transport/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace sapphirecove::transport {

namespace asio = boost::asio;

namespace {

constexpr std::array Streams{
    state::Stream::Configuration,
    state::Stream::Claims,
    state::Stream::Leases,
    state::Stream::Versions,
};

constexpr state::Duration OrderTimeout = std::chrono::seconds(2);

bool sameAddress(const coordination::WatchedTarget &left, const coordination::WatchedTarget &right)
{
    return left.address == right.address && left.port == right.port;
}

coordination::OrderAnswered
readOrderResponse(const HttpOutcome &outcome, const coordination::SendOrder &order, const std::string &peer)
{
    coordination::OrderAnswered undelivered;
    undelivered.order = order.order;
    undelivered.target = order.target;
    if (outcome.failure) {
        undelivered.detail = outcome.failure->step + ": " + outcome.failure->detail;
        return undelivered;
    }
    return state::handleFailure(
        [&] {
            return protocol::decodeOrderResponse(outcome.status, outcome.body, order, peer);
        },
        [&](const state::Failure &failure) {
            undelivered.detail = failure.detail;
            return undelivered;
        });
}

} // namespace

PlatformService::PlatformService(asio::io_context &context,
                                 const protocol::PlatformSettings &settings,
                                 std::uint64_t seed,
                                 Ring<coordination::Event> &events)
    : m_context(context)
    , m_loadPoll(settings.loadPoll)
    , m_events(context, events)
    , m_appender(context.get_executor(), settings.log, m_events)
    , m_hostList(context.get_executor(), settings.hostList, settings.hostListPoll, m_events)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{
    for (const auto stream : Streams) {
        m_readers.push_back(
            std::make_unique<LogReader>(context.get_executor(), stream, settings.log, m_events, m_random()));
    }
}

void PlatformService::start()
{
    asio::co_spawn(m_context, m_appender.run(), asio::detached);
    asio::co_spawn(m_context, m_hostList.run(), asio::detached);
    for (const auto &reader : m_readers) {
        asio::co_spawn(m_context, reader->run(), asio::detached);
    }
}

void PlatformService::apply(coordination::Action action)
{
    std::visit(
        [this](auto &&decision) {
            using Decision = std::decay_t<decltype(decision)>;
            if constexpr (std::is_same_v<Decision, coordination::AppendRecords>) {
                m_appender.append(std::forward<decltype(decision)>(decision));
            } else if constexpr (std::is_same_v<Decision, coordination::SendOrder>) {
                asio::co_spawn(m_context, sendOrder(std::forward<decltype(decision)>(decision)), asio::detached);
            } else if constexpr (std::is_same_v<Decision, coordination::WatchTargets>) {
                watch(decision);
            }
        },
        std::move(action));
}

void PlatformService::watch(const coordination::WatchTargets &wanted)
{
    std::set<state::TargetId> names;
    for (const auto &target : wanted.targets) {
        names.insert(target.target);
        auto &watcher = m_watchers[target.target];
        if (watcher && sameAddress(watcher->target(), target)) {
            continue;
        }
        if (watcher) {
            watcher->stop();
        }
        watcher = std::make_shared<TargetWatcher>(m_context.get_executor(), target, m_loadPoll, m_events);
        std::uniform_int_distribution<state::Duration::rep> delay(0, m_loadPoll.count());
        watcher->start(state::Duration(delay(m_random)));
    }
    std::erase_if(m_watchers, [&](const auto &entry) {
        const bool unwanted = !names.contains(entry.first);
        if (unwanted) {
            entry.second->stop();
        }
        return unwanted;
    });
}

asio::awaitable<void> PlatformService::sendOrder(coordination::SendOrder order)
{
    HttpClient client(m_context.get_executor(), Endpoint{ order.address, order.port });
    HttpCall call;
    call.method = boost::beast::http::verb::post;
    call.path = "/v1/orders";
    call.body = protocol::encodeOrderBody(order);
    const auto outcome = co_await client.send(std::move(call), OrderTimeout);
    const auto response = readOrderResponse(outcome, order, toString(client.endpoint()));
    if (!response.delivered) {
        logFailure("order_lost", state::Failure{ "order.send", toString(client.endpoint()), response.detail });
    }
    m_events.send(response);
}

} // namespace sapphirecove::transport
