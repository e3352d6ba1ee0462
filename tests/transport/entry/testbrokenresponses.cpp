#include "tests/transport/entry/entryfixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace sapphirecove;
using namespace sapphirecove::tests;
using namespace sapphirecove::tests::entry;

// Guards against a rule for broken responses that rejects sound ones.
TEST_CASE("sound responses of unusual form arrive whole", "[entry][host][broken]")
{
    const std::string id = "X-Attempt-Id: a1\r\n" + std::string(Seal);
    for (const std::string &response :
         { "HTTP/1.1 200 OK\r\n" + id + "\r\nsound\r\n body",
           "HTTP/1.0 200 OK\r\n" + id + "\r\nsound\r\n body",
           "HTTP/1.1 200 \r\n" + id + "X-Empty:\r\nX-Blank: \t\r\n\r\nsound\r\n body",
           "HTTP/1.1 299 Rare\r\n" + id + "Content-Length: 12\r\n\r\nsound\r\n body",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + id
               + "Content-Length: 12\r\n\r\nsound\r\n body",
           "HTTP/1.1 599 Rare\r\n" + id + "Content-Length: 12\r\n\r\nsound\r\n body",
           "HTTP/1.1 200 OK\r\n" + id
               + "Transfer-Encoding: chunked\r\n\r\n7\r\nsound\r\n\r\n5;x=1\r\n body\r\n0\r\n\r\n" }) {
        // The pieces have their own arrival, so that parts of the header are read alone.
        for (const std::size_t piece : { response.size(), std::size_t{ 7 }, std::size_t{ 1 } }) {
            INFO(response << "\npiece: " << piece);
            ScriptedTarget target([&](int, const std::string &, BlockingConnection &connection) {
                for (std::size_t at = 0; at < response.size(); at += piece) {
                    connection.write(response.substr(at, piece));
                    if (piece < response.size()) {
                        std::this_thread::sleep_for(std::chrono::microseconds(200));
                    }
                }
            });
            EntryFixture fixture({ target.port() });
            const std::string received = fixture.call(CommitPath, "a1", "POST");
            CHECK_THAT(received, Catch::Contains("\r\n\r\nsound\r\n body"));
            CHECK(received.substr(9, 3) == response.substr(response.rfind("HTTP/1.") + 9, 3));
        }
    }
}
