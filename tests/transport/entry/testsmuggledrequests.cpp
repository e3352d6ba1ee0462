#include "tests/transport/entry/entryfixture.h"

#include <string>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;

namespace {

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::string head(std::string_view id, const std::string &fields, std::string_view version = "1.1")
{
    return "POST " + std::string(CommitPath) + "x HTTP/" + std::string(version)
        + "\r\nHost: a.example\r\nX-Attempt-Id: " + std::string(id) + "\r\nX-Api-Key: k1\r\n" + fields + "\r\n";
}

} // namespace

// Guards against UNASKED: the body of a request runs as a request of its own, past the checks of its sender's host.
TEST_CASE("a request whose end is not clear is rejected and nothing in it runs", "[entry][host][framing]")
{
    const std::string smuggled = head("inner", "Content-Length: 0\r\n");
    const std::string length = "Content-Length: " + std::to_string(smuggled.size()) + "\r\n";
    const auto check = [&](const std::string &fields, std::string_view version = "1.1") {
        INFO(fields << "in HTTP/" << version);
        ScriptedTarget target([](int, const std::string &, BlockingConnection &connection) {
            connection.write("HTTP/1.1 200 OK\r\n" + std::string(Seal)
                             + "Connection: close\r\nContent-Length: 2\r\n\r\nok");
        });
        EntryFixture fixture({ target.port() });
        BlockingConnection connection(fixture.settings().callers.port);
        connection.write(head("outer", fields, version) + smuggled);
        const std::string response = connection.readToEnd();
        CHECK(response.starts_with("HTTP/1.1 400"));
        CHECK(response.find("HTTP/1.1", 1) == std::string::npos);
        CHECK(target.requests().empty());
    };
    check("Transfer-Encoding: identity\r\n");
    check("Transfer-Encoding: gzip\r\n");
    check("Transfer-Encoding: chunked, identity\r\n");
    check("Transfer-Encoding: gzip, chunked\r\n");
    check("Transfer-Encoding: xchunked\r\n");
    check("Transfer-Encoding:\r\n");
    check("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n");
    check("Transfer-Encoding: identity\r\n" + length);
    check("Transfer-Encoding: chunked\r\n" + length);
    check(length + "Transfer-Encoding: chunked\r\n");
    check("Content-Length: 0\r\n" + length);
    check(length + length);
    check("Transfer-Encoding: chunked\r\n", "1.0");
}

// Guards against a check that rejects what callers may send.
TEST_CASE("requests with a length or in chunks are served", "[entry][host][framing]")
{
    for (const std::string_view framing : { "Content-Length: 5\r\n\r\nhello",
                                            "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                                            "transfer-encoding:  Chunked \r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                                            "\r\n" }) {
        INFO(framing);
        ScriptedTarget target([](int, const std::string &, BlockingConnection &connection) {
            connection.write("HTTP/1.1 200 OK\r\n" + std::string(Seal)
                             + "Connection: close\r\nContent-Length: 2\r\n\r\nok");
        });
        EntryFixture fixture({ target.port() });
        BlockingConnection connection(fixture.settings().callers.port);
        const std::string fields = head("a1", "Connection: close\r\n");
        connection.write(fields.substr(0, fields.size() - 2) + std::string(framing));
        CHECK(contains(connection.readToEnd(), " 200 "));
    }
}
