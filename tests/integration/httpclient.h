#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirecove::integration {

using Headers = std::map<std::string, std::string>;

/** HTTP request to a port of the loopback address. */
struct HttpCall
{
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    Headers headers;
    std::chrono::milliseconds timeout = std::chrono::seconds(30); /**< of each step: connect, send, each read */
};

/** Server-sent event. */
struct ServerEvent
{
    std::string id;
    std::string data;
};

/** Connection that sends one request and reads the response incrementally. */
class HttpStream
{
public:
    explicit HttpStream(const HttpCall &call);

    /** Status of the response; 0 if the connection failed before the header was complete. */
    int status() const
    {
        return m_status;
    }
    std::string header(const std::string &name) const;
    const std::string &body() const
    {
        return m_body;
    }
    /** Returns whether the whole response arrived, according to its HTTP framing. */
    bool isComplete() const
    {
        return m_isComplete;
    }

    /** Reads more of the body; returns false if the response is already complete or the connection has failed. */
    bool readSome();
    void readAll();
    /** Reads until the body has at least @p count events; returns whether it has. */
    bool readEvents(std::size_t count);
    /** Events received so far. */
    std::vector<ServerEvent> events() const;

private:
    template <typename Start>
    bool run(Start &&start);

    boost::asio::io_context m_context{ 1 };
    boost::beast::tcp_stream m_stream{ m_context };
    boost::beast::flat_buffer m_buffer;
    boost::beast::http::response_parser<boost::beast::http::buffer_body> m_parser;
    std::array<char, 16384> m_readBuffer{};
    std::chrono::milliseconds m_timeout;
    std::string m_body;
    int m_status = 0;
    bool m_isComplete = false;
    bool m_hasFailed = false;
};

/** Response, read until its end or a failure. */
struct HttpResponse
{
    int status = 0;
    bool isComplete = false;
    std::string body;
    std::string contentType;
    std::string retryAfter;

    /** Returns the body as JSON; null if it is not valid JSON. */
    boost::json::value json() const;
};

/** Sends a request and reads the whole response. */
HttpResponse call(const HttpCall &call);

/** Returns the string in field @p name of a JSON object; empty if there is no such string. */
std::string textField(const boost::json::value &value, const std::string &name);

} // namespace sapphirecove::integration
