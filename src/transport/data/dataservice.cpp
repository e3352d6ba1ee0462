#include "transport/data/dataservice.h"

#include "transport/countguard.h"
#include "transport/sockets.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <type_traits>
#include <utility>
#include <variant>

namespace sapphirecove::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Connections above the limit that get an answer; more are closed at once. */
constexpr std::size_t MaxRejections = 64;

constexpr state::Duration ConnectionRetry = std::chrono::seconds(1);

} // namespace

DataService::DataService(asio::io_context &context,
                         std::unique_ptr<Listener> listener,
                         const TimeSource &clock,
                         DataLimits limits,
                         std::string idPrefix,
                         Ring<coordination::Event> &events)
    : m_listener(std::move(listener))
    , m_events(context, events)
    , m_context{ context.get_executor(),
                 clock,
                 limits,
                 [this](coordination::Event event) {
                     m_events.send(std::move(event));
                 } }
    , m_requests(std::make_shared<RequestTable>(m_context, std::move(idPrefix)))
    , m_state{ m_context, m_requests, nullptr, false, [this](coordination::Event event) {
                  return m_events.trySend(std::move(event));
              } }
{
}

DataService::~DataService()
{
    m_requests->whenIdle(nullptr);
}

void DataService::start()
{
    m_listener->start([this](tcp::socket socket) {
        accept(std::move(socket));
    });
}

void DataService::apply(coordination::Action action)
{
    std::visit(
        [this](auto &&decision) {
            using Decision = std::decay_t<decltype(decision)>;
            if constexpr (std::is_same_v<Decision, coordination::ApplyConfiguration>) {
                m_state.configuration = std::make_shared<const AppliedConfiguration>(decision.configuration);
            } else if constexpr (
                std::is_same_v<
                    Decision,
                    coordination::
                        Dispatch> || std::is_same_v<Decision, coordination::Refuse> || std::is_same_v<Decision, coordination::CancelDispatch>) {
                m_requests->apply(std::forward<decltype(decision)>(decision));
            }
        },
        std::move(action));
}

void DataService::drain()
{
    m_state.draining = true;
}

void DataService::whenIdle(std::function<void()> onIdle)
{
    m_requests->whenIdle(std::move(onIdle));
}

void DataService::accept(tcp::socket socket)
{
    const auto executor = socket.get_executor();
    if (*m_connections < m_context.limits.connections) {
        asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
    } else if (*m_rejections < MaxRejections) {
        asio::co_spawn(executor, rejectConnection(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> DataService::serve(tcp::socket socket)
{
    const CountGuard guard(m_connections);
    CallerConnection connection(m_state, std::move(socket));
    co_await connection.run();
}

asio::awaitable<void> DataService::rejectConnection(tcp::socket socket)
{
    const CountGuard guard(m_rejections);
    ResponseWriter answer(socket, ResponseOptions{ false, false });
    const coordination::Refusal refusal{
        coordination::RefusalReason::Overloaded, coordination::Executed::No, ConnectionRetry, "too many connections"
    };
    co_await answer.sendProblem(refusal);
    co_await lingeringClose(socket);
}

} // namespace sapphirecove::transport
