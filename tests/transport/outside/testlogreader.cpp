#include "protocol/logcodec.h"
#include "tests/transport/loopback.h"
#include "transport/iothread.h"
#include "transport/outside/logreader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>

using namespace sapphirecove;
using namespace sapphirecove::tests;

namespace {

std::string pageResponse(int first, int next, const std::string &records)
{
    const std::string body =
        "{\"first\":" + std::to_string(first) + ",\"next\":" + std::to_string(next) + ",\"records\":[" + records + "]}";
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string leaseRecord(int offset)
{
    return "{\"offset\":" + std::to_string(offset)
        + ",\"time_ms\":1000,\"value\":{\"type\":\"taken\",\"name\":\"n\",\"holder\":\"h\",\"incarnation\":1,"
          "\"duration_us\":5,\"sent_us\":1}}";
}

/** Returns the number after "from=" in a request. */
std::string fromParameter(const std::string &request)
{
    const auto at = request.find("from=") + 5;
    return request.substr(at, request.find_first_of("& ", at) - at);
}

} // namespace

// Guards against records delivered twice and against offsets that move backwards when the log returns an older state.
TEST_CASE("a log reader rejects an outdated response and reports a failed read", "[logreader]")
{
    ScriptedTarget log([](int number, const std::string &, BlockingConnection &connection) {
        const std::vector<std::string> responses{
            pageResponse(0, 2, leaseRecord(0) + "," + leaseRecord(1)),
            pageResponse(0, 1, leaseRecord(0)), // older than the first response, as from a lagging replica
            pageResponse(0, 3, leaseRecord(1) + "," + leaseRecord(2)),
        };
        if (static_cast<std::size_t>(number) < responses.size()) {
            connection.write(responses[static_cast<std::size_t>(number)]);
        } else {
            connection.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
    });
    transport::IoThread platform("platform");
    transport::IoThread decisions("decisions");
    transport::Ring<coordination::Event> ring(16);
    std::vector<state::Offset> offsets;
    std::vector<state::Offset> nexts;
    std::promise<void> finished;
    int unavailable = 0;
    ring.setConsumer(decisions.context(), [&](coordination::Event &&event) {
        if (const auto *read = std::get_if<coordination::RecordsRead>(&event)) {
            nexts.push_back(read->next);
            for (const auto &record : read->records) {
                offsets.push_back(record.offset);
            }
        } else if (std::holds_alternative<coordination::LogUnavailable>(event) && ++unavailable == 2) {
            finished.set_value();
        }
    });
    transport::EventSender sender(platform.context(), ring);
    const auto executor = platform.context().get_executor();
    transport::LogReader reader(executor, state::Stream::Leases, { "127.0.0.1", log.port() }, sender, 1);
    boost::asio::co_spawn(executor, reader.run(), boost::asio::detached);
    decisions.start();
    platform.start();
    REQUIRE(finished.get_future().wait_for(TestTimeout) == std::future_status::ready);
    platform.stop();
    decisions.stop();
    CHECK(nexts == std::vector<state::Offset>{ 2, 3 });
    CHECK(offsets == std::vector<state::Offset>{ 0, 1, 2 });
    const auto requests = log.requests();
    REQUIRE(requests.size() >= 4);
    CHECK(fromParameter(requests[0]) == "0");
    CHECK(fromParameter(requests[1]) == "2");
    CHECK(fromParameter(requests[2]) == "2");
    CHECK(fromParameter(requests[3]) == "3");
}
