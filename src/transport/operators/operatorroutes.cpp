#include "transport/operators/operatorroutes.h"

#include "protocol/statuscodec.h"
#include "transport/operators/metricstext.h"

namespace sapphirecove::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view PlainText = "text/plain";
constexpr std::string_view JsonText = "application/json";

HttpResponse unavailable(const HttpRequest &request)
{
    return makeResponse(
        request, http::status::service_unavailable, PlainText, "the decisions thread does not answer\n");
}

asio::awaitable<HttpResponse> answerHealth(HostInspection &, const HttpRequest &request)
{
    co_return makeResponse(request, http::status::ok, PlainText, "ok\n");
}

asio::awaitable<HttpResponse> answerReadiness(HostInspection &host, const HttpRequest &request)
{
    const auto readiness = host.readiness();
    const auto status = readiness.ready ? http::status::ok : http::status::service_unavailable;
    const auto text = readiness.ready ? std::string("ready") : readiness.reason;
    co_return makeResponse(request, status, PlainText, text + '\n');
}

asio::awaitable<HttpResponse> answerMetrics(HostInspection &host, const HttpRequest &request)
{
    const auto snapshot = co_await host.snapshot();
    if (!snapshot) {
        co_return unavailable(request);
    }
    co_return makeResponse(request, http::status::ok, MetricsMediaType, encodeMetrics(*snapshot));
}

asio::awaitable<HttpResponse> answerStatus(HostInspection &host, const HttpRequest &request, protocol::StatusPart part)
{
    const auto snapshot = co_await host.snapshot();
    if (!snapshot) {
        co_return unavailable(request);
    }
    co_return makeResponse(request, http::status::ok, JsonText, protocol::encodeStatus(snapshot->report, part));
}

OperatorRoute statusRoute(protocol::StatusPart part)
{
    const auto handler = [part](HostInspection &host, const HttpRequest &request) {
        return answerStatus(host, request, part);
    };
    return OperatorRoute{ protocol::statusPath(part), true, handler };
}

} // namespace

std::vector<OperatorRoute> operatorRoutes()
{
    return {
        { "/healthz", false, answerHealth },
        { "/readyz", false, answerReadiness },
        { "/metrics", true, answerMetrics },
        statusRoute(protocol::StatusPart::Whole),
        statusRoute(protocol::StatusPart::Configuration),
        statusRoute(protocol::StatusPart::Versions),
        statusRoute(protocol::StatusPart::Audit),
    };
}

} // namespace sapphirecove::transport
