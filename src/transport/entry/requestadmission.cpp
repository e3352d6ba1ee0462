#include "transport/entry/requestadmission.h"

#include "coordination/entry/confirmation.h"
#include "coordination/entry/crashsuspects.h"
#include "protocol/requesthash.h"
#include "transport/beaststring.h"
#include "transport/entry/format.h"
#include "transport/log.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sapphirecove::transport::entry {

namespace http = boost::beast::http;

using state::entry::RequestKind;

namespace {

/** Timeout of a request if neither its route nor its caller sets one. */
constexpr state::Duration DefaultTimeout = std::chrono::seconds(30);

/** Retry-After while the host cannot serve yet; a configuration or its confirmation takes about this long. */
constexpr state::Duration NotReadyRetryAfter = std::chrono::milliseconds(500);

/**
 * Time after SIGTERM for which new streams are accepted. Streams last seconds, and the load balancer needs two checks
 * to stop sending new connections.
 */
constexpr state::Duration StoppingStreamWindow = std::chrono::milliseconds(2000);

/** Margin that a stopping host keeps between the end of the last request and its own end. */
constexpr state::Duration ShutdownReserve = std::chrono::milliseconds(700);

/** Retry-After of a stopping host; another host can accept the request at once. */
constexpr state::Duration StoppingRetryAfter = std::chrono::milliseconds(50);

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

RequestAdmission::RequestAdmission(ServingContext &context,
                                   const Request &request,
                                   state::Time arrived,
                                   AdmittedRequest &admitted)
    : m_context(context)
    , m_request(request)
    , m_arrived(arrived)
    , m_admitted(admitted)
{
    m_admitted.deadline = arrived + DefaultTimeout;
}

std::optional<Response> RequestAdmission::check()
{
    m_admitted.table = m_context.table;
    bool readable = true;
    state::handleFailure(
        [&]() -> state::Result<void> {
            BOOST_LEAF_ASSIGN(m_admitted.fields, m_context.codec.decodeRequest(m_request));
            return {};
        },
        [&](const state::Failure &failure) {
            logFailure("call_rejected", failure);
            readable = false;
        });
    const bool traceHasContent = m_request.method() == http::verb::trace && !m_request.body().empty();
    if (!readable || traceHasContent) {
        return makeErrorResponse(http::status::bad_request, "bad_request");
    }
    if (!m_admitted.table) {
        return makeErrorResponse(http::status::service_unavailable, "no_configuration", NotReadyRetryAfter);
    }
    m_admitted.route =
        m_admitted.table->findRoute(withoutPort(toView(m_request[http::field::host])), toView(m_request.target()));
    if (m_admitted.route == nullptr || !m_admitted.route->isPublic) {
        if (auto refusal = checkConfiguration()) {
            return refusal;
        }
    }
    if (m_admitted.route == nullptr) {
        return makeErrorResponse(http::status::not_found, "no_route");
    }
    const state::Duration timeout =
        m_admitted.route->timeout > state::Duration::zero() ? m_admitted.route->timeout : DefaultTimeout;
    m_admitted.deadline = m_arrived + std::min(timeout, m_admitted.fields.deadline.value_or(timeout));
    if (auto refusal = checkCustomer()) {
        return refusal;
    }
    if (auto refusal = checkStopping()) {
        return refusal;
    }
    chooseService();
    identify();
    updateRegions();
    return std::nullopt;
}

/** Refuses a request while the configuration may be so old that a key or route in it has been revoked. */
std::optional<Response> RequestAdmission::checkConfiguration() const
{
    const auto &bounds = m_context.settings.bounds;
    const state::Duration age = m_context.now() - m_context.configurationConfirmed;
    if (bounds.strictRevocation && m_admitted.table->requiresKeys()
        && age > coordination::entry::maxConfirmationAge(bounds)) {
        return makeErrorResponse(http::status::service_unavailable, "configuration_unconfirmed", NotReadyRetryAfter);
    }
    return std::nullopt;
}

/**
 * Refuses a request that might not end before the host does: it may take all of its time, waiting and moves to other
 * targets included. The load balancer may send connections until then, and other hosts can serve it.
 */
std::optional<Response> RequestAdmission::checkStopping() const
{
    if (!m_context.stopping) {
        return std::nullopt;
    }
    const bool acceptsKind = m_admitted.route->kind != RequestKind::Streaming
        || m_context.now() - m_context.stoppingSince <= StoppingStreamWindow;
    if (acceptsKind && m_admitted.deadline + ShutdownReserve <= m_context.graceEnds) {
        return std::nullopt;
    }
    return makeErrorResponse(http::status::service_unavailable, "stopping", StoppingRetryAfter);
}

std::optional<Response> RequestAdmission::checkCustomer()
{
    if (m_admitted.route->isPublic || !m_admitted.table->requiresKeys()) {
        return std::nullopt;
    }
    const state::entry::Customer *customer = m_admitted.table->findCustomer(m_admitted.fields.key);
    if (customer == nullptr) {
        return makeErrorResponse(http::status::unauthorized, "unknown_key");
    }
    m_admitted.customer = customer->name;
    m_admitted.customerPriority = customer->priority;
    m_admitted.cost = 1;
    if (customer->countsTokens) {
        m_admitted.cost = m_admitted.fields.declaresTokens
            ? m_admitted.fields.promptTokens + m_admitted.fields.maxOutputTokens
            : customer->plainRequestCost;
    }
    return std::nullopt;
}

bool RequestAdmission::updateRegions()
{
    if (m_regionsTable == m_context.table) {
        return false;
    }
    m_regionsTable = m_context.table;
    const auto *route =
        m_regionsTable->findRoute(withoutPort(toView(m_request[http::field::host])), toView(m_request.target()));
    if (route == nullptr) {
        return false; // The route was removed meanwhile; its last regions go on to bind this request.
    }
    const bool hasCustomer = !m_admitted.customer.empty();
    const auto *customer = hasCustomer ? m_regionsTable->findCustomer(m_admitted.fields.key) : nullptr;
    if (hasCustomer && customer == nullptr) {
        return false;
    }
    const auto before =
        std::exchange(m_admitted.permittedRegions, coordination::entry::RegionRules::allowed(*route, customer));
    return before != m_admitted.permittedRegions;
}

/**
 * Chooses a service by the route's weights. A hash of the attempt id takes the place of a random number, so that the
 * choice is reproducible.
 */
void RequestAdmission::chooseService()
{
    std::uint64_t total = 0;
    for (const auto &share : m_admitted.route->services) {
        total += share.weight;
    }
    std::uint64_t point = total == 0 ? 0 : std::hash<std::string>()(m_admitted.fields.attemptId) % total;
    for (const auto &share : m_admitted.route->services) {
        m_admitted.service = share.service;
        if (point < share.weight) {
            break;
        }
        point -= share.weight;
    }
    const state::entry::Service *service = m_admitted.table->findService(m_admitted.service);
    m_admitted.model = service != nullptr && service->modelEngine;
}

/** Determines what is to blame if the request crashes a target. It is the same however the body is framed. */
void RequestAdmission::identify()
{
    state::handleFailure(
        [&]() -> state::Result<void> {
            BOOST_LEAF_AUTO(hash,
                            protocol::requestHash(toView(m_request.method_string()),
                                                  toView(m_request.target()),
                                                  m_admitted.customer,
                                                  m_request.body()));
            m_admitted.suspects.push_back(coordination::entry::requestSuspect(hash));
            return {};
        },
        [](const state::Failure &failure) {
            logFailure("request_not_identified", failure);
        });
    auto &suspects = m_admitted.suspects;
    const std::size_t firstPart = suspects.size();
    for (const std::uint64_t part : m_admitted.fields.promptParts) {
        suspects.push_back(coordination::entry::promptPartSuspect(part));
    }
    std::sort(suspects.begin() + static_cast<std::ptrdiff_t>(firstPart), suspects.end());
    suspects.erase(std::unique(suspects.begin() + static_cast<std::ptrdiff_t>(firstPart), suspects.end()),
                   suspects.end());
    if (suspects.size() > coordination::entry::ScheduledRequest::MaxParts) {
        // Only where the configuration allows longer headers than 16 KiB.
        m_context.metrics.count("prompt_parts_not_watched_total");
        logEvent("prompt_parts_not_watched",
                 { { "request", m_admitted.fields.attemptId },
                   { "parts", std::to_string(suspects.size()) },
                   { "watched", std::to_string(coordination::entry::ScheduledRequest::MaxParts) } });
        suspects.resize(coordination::entry::ScheduledRequest::MaxParts);
    }
}

} // namespace sapphirecove::transport::entry
