#include "tests/transport/loopback.h"
#include "transport/responsereader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <array>

using namespace sapphirecove;
using namespace sapphirecove::transport;
namespace asio = boost::asio;

// Guards against a part of a body that passes for the whole one, as the write of the request, which has got the error
// of the connection, is completed after the read.
TEST_CASE("a write that failed before the end of a body was read is taken into account", "[reader][broken]")
{
    struct Row
    {
        boost::system::error_code written;
        bool complete;
    };
    for (const Row &row : { Row{ {}, true },
                            Row{ asio::error::broken_pipe, true },
                            Row{ asio::error::connection_reset, false },
                            Row{ asio::error::timed_out, false } }) {
        INFO(row.written.message());
        asio::io_context context;
        tests::tcp::acceptor acceptor(context, tests::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        tests::tcp::socket socket(context);
        socket.connect(acceptor.local_endpoint());
        tests::BlockingConnection server(acceptor.accept());
        server.write("HTTP/1.1 200 OK\r\n\r\nbody");
        server.close();
        boost::beast::flat_buffer buffer;
        const auto request = std::make_shared<RequestWrite>();
        ResponseReader reader(socket, buffer, request, false);
        bool waitsForEnd = false;
        boost::system::error_code error;
        const auto read = [&]() -> asio::awaitable<void> {
            std::array<char, 100> space{};
            std::size_t size = 0;
            error = co_await reader.readHeader();
            if (!error) {
                error = co_await reader.readBody(space, size);
            }
            waitsForEnd = !error && size == 4;
            if (waitsForEnd) {
                error = co_await reader.readBody(space, size);
            }
        };
        asio::co_spawn(context, read, asio::detached);
        while (!waitsForEnd && context.run_one() > 0) { }
        REQUIRE(waitsForEnd);
        // The end has been read, and the handlers of both operations are queued.
        asio::post(context, [&] {
            *request = { true, row.written };
        });
        context.run();
        CHECK(reader.complete() == row.complete);
        CHECK(!error == row.complete);
        CHECK_FALSE(isMalformedResponse(error));
    }
}
