#include "tests/transport/brokenheads.h"
#include "transport/syncclient.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <thread>

using namespace sapphirecove;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

/** Server on the loopback address that answers one connection, or none if serve() is not called. */
class SingleResponseServer
{
public:
    SingleResponseServer()
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
    }

    protocol::Endpoint endpoint() const
    {
        return { "127.0.0.1", m_acceptor.local_endpoint().port() };
    }

    /** Answers the next connection with @p response and returns the request that it received. */
    std::string serve(const std::string &response)
    {
        tcp::socket socket = m_acceptor.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(response));
        return request;
    }

private:
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
};

/** Returns "status body" or, if the request fails, the step of the Failure. */
std::string fetch(const protocol::Endpoint &endpoint, state::Duration timeout)
{
    return state::handleFailure(
        [&]() -> state::Result<std::string> {
            BOOST_LEAF_AUTO(response, transport::SyncClient(endpoint, "the-key").fetch("/path?a=1", timeout));
            return std::to_string(response.status) + ' ' + response.body;
        },
        [](const state::Failure &failure) {
            return failure.step;
        });
}

} // namespace

// Guards against requests without key or path, and against truncated or misread responses.
TEST_CASE("a request is sent with its path and key and its response is received", "[syncclient]")
{
    SingleResponseServer server;
    std::string request;
    std::thread thread([&] {
        request = server.serve("HTTP/1.1 418 X\r\nContent-Length: 5\r\n\r\nhello");
    });
    CHECK(fetch(server.endpoint(), 10s) == "418 hello");
    thread.join();
    CHECK_THAT(request, Catch::StartsWith("GET /path?a=1 HTTP/1.1\r\n"));
    CHECK_THAT(request, Catch::Contains("Authorization: Bearer the-key\r\n"));
}

// Guards against a publisher that reports an unknown outcome although nothing was sent, or the reverse.
TEST_CASE("a refused connection and a missing response fail in different steps", "[syncclient]")
{
    protocol::Endpoint closed;
    {
        const SingleResponseServer server;
        closed = server.endpoint();
        CHECK(fetch(server.endpoint(), 50ms) == transport::ExchangeStep);
    }
    CHECK(fetch(closed, 10s) == transport::ConnectStep);
}

// Guards against a truncated response that is treated as complete.
TEST_CASE("a truncated response is a failure", "[syncclient]")
{
    SingleResponseServer server;
    std::thread thread([&] {
        server.serve("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello");
    });
    CHECK(fetch(server.endpoint(), 10s) == transport::ExchangeStep);
    thread.join();
}

// Guards against bytes that are no answer and that a command reports as one.
TEST_CASE("a response that is none is a failure", "[syncclient][broken]")
{
    std::vector<std::string> responses;
    for (const std::string &code : tests::invalidStatusCodes()) {
        responses.push_back("HTTP/1.1 " + code + " Broken\r\nContent-Length: 2\r\n\r\nok");
    }
    for (const std::string &line : tests::invalidFieldLines()) {
        responses.push_back("HTTP/1.1 200 OK\r\nX-A: 1\r\n" + line + "\r\n\r\nok");
    }
    responses.emplace_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok");
    responses.emplace_back("HTTP/1.1 100 Continue\r\n\r\n");
    responses.emplace_back("HTTP/1.1 200 OK\r\n\r\n");
    for (const std::string &response : responses) {
        INFO(Catch::StringMaker<std::string>::convert(response));
        SingleResponseServer server;
        std::thread thread([&] {
            server.serve(response);
        });
        CHECK(fetch(server.endpoint(), 10s) == transport::ExchangeStep);
        thread.join();
    }
}
