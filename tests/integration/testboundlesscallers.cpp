// Tests with callers that keep no limit: real processes, and requests that do not end.
#include "tests/integration/entryprocess.h"
#include "tests/integration/fleet.h"
#include "tests/integration/waitfor.h"
#include "tests/transport/threadedtarget.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace sapphirecove::integration;
using sapphirecove::tests::BlockingConnection;
using sapphirecove::tests::ThreadedTarget;

namespace {

/** Memory that the settings of the entry host allow, and bound of the serving host, in bytes. */
constexpr std::size_t EntryMemory = std::size_t{ 48 } * 1024 * 1024;
constexpr std::size_t ServeMemory = std::size_t{ 96 } * 1024 * 1024;

/** Callers, and the bytes that each of them sends at most. All of these exceed the memory of either host. */
constexpr int ConcurrentCallers = 16;
constexpr std::size_t BytesOfCaller = std::size_t{ 12 } * 1024 * 1024;

/** Open descriptors of a host after the callers have left. */
constexpr std::size_t MaxDescriptors = 96;

/** How a request begins, and the bytes that follow without end. */
struct EndlessRequest
{
    std::string begin;
    std::string block;
};

std::vector<std::pair<std::string, EndlessRequest>> endlessRequests(const std::string &target)
{
    const std::string head = "POST " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: e\r\nX-Api-Key: k1\r\n"
        + "Authorization: Bearer " + CustomerKey + "\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    std::string fields;
    while (fields.size() < 65536) {
        fields += "x-trailer: " + std::string(100, 't') + "\r\n";
    }
    const std::string text(65536, 'l');
    return { { "trailers", { chunked + "5\r\nhello\r\n0\r\n", fields } },
             { "one trailer", { chunked + "5\r\nhello\r\n0\r\nx-trailer: ", text } },
             { "extension of a chunk", { chunked + "5;name=", text } },
             { "extension of the last chunk", { chunked + "5\r\nhello\r\n0;name=", text } },
             { "chunks", { chunked, "10000\r\n" + text + "\r\n" } },
             { "body of a given length", { head + "Content-Length: 4000000\r\n\r\n", text } },
             { "size of a chunk", { chunked, std::string(65536, '0') } },
             { "header", { head + "x-field: ", text } },
             { "fields of the header", { head, fields } },
             { "start line", { "POST /", text } } };
}

/** Sends @p request to @p port from all callers at once, each until it is refused or has sent all of its bytes. */
void sendAtOnce(std::uint16_t port, const EndlessRequest &request)
{
    std::vector<std::thread> callers;
    for (int number = 0; number < ConcurrentCallers; ++number) {
        callers.emplace_back([&] {
            BlockingConnection connection(port);
            connection.write(request.begin);
            for (std::size_t sent = 0; sent < BytesOfCaller && connection.tryWrite(request.block);) {
                sent += request.block.size();
            }
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
}

/** Highest resident memory that process @p pid has had, in bytes. */
std::size_t peakMemory(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(6)) * 1024;
        }
    }
    return std::numeric_limits<std::size_t>::max();
}

std::size_t openDescriptors(pid_t pid)
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

/** Checks what must hold for @p host at any time, and that descriptors are closed after the callers have left. */
void checkHost(Process &host, std::size_t memory)
{
    REQUIRE(host.isRunning());
    CHECK(peakMemory(host.pid()) < memory);
    CHECK(waitFor([&] {
        return openDescriptors(host.pid()) <= MaxDescriptors;
    }));
}

/** Answers a request to an entry host. */
void answer(const std::string &request, BlockingConnection &connection)
{
    constexpr std::string_view name = "X-Attempt-Id: ";
    const std::size_t at = request.find(name) + name.size();
    connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.substr(at, request.find('\r', at) - at)
                     + "\r\nX-Server-Seal: s\r\nContent-Length: 5\r\nConnection: close\r\n\r\nsound");
}

} // namespace

// Guards against callers without limits that end the process of an entry host by what its parsers keep.
TEST_CASE("requests without end keep an entry host within its memory", "[callers]")
{
    ThreadedTarget target(answer);
    EntryProcess host(target.port(), EntryMemory);
    for (std::size_t listener = 0; listener < 3; ++listener) {
        for (const auto &[name, request] : endlessRequests("/r/x")) {
            CAPTURE(listener, name);
            sendAtOnce(host.ports()[listener], request);
            checkHost(host.process(), EntryMemory);
            const HttpResponse response = host.call();
            CHECK(response.status == 200);
            CHECK(response.body == "sound");
        }
    }
}

// Guards against the same on the product's own path, at the listeners for callers, operators and other hosts.
TEST_CASE("requests without end keep a serving host within its memory", "[callers]")
{
    FleetOptions options;
    options.hosts = 1;
    options.engines = 1;
    options.services = 1;
    Fleet fleet(options);
    fleet.start();
    for (std::size_t listener = 0; listener < 3; ++listener) {
        for (const auto &[name, request] : endlessRequests("/orders/1")) {
            CAPTURE(listener, name);
            sendAtOnce(fleet.ports(0)[listener], request);
            checkHost(fleet.host(0), ServeMemory);
            const auto response = call(fleet.serviceCall(0, "GET", "/orders/17/status"));
            CHECK(response.status == 200);
        }
    }
}
