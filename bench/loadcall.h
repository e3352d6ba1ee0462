#pragma once

#include "bench/connectionpool.h"
#include "bench/statistics.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <functional>
#include <optional>

namespace sapphirecove::load {

/** HTTP request in progress; reads the response and reports a CallResult. */
class LoadCall : public std::enable_shared_from_this<LoadCall>
{
public:
    using FinishedCallback = std::function<void(CallResult)>;

    /** @p start is the start of the run, from which CallResult::startedMs is counted. */
    LoadCall(ConnectionPool &pool,
             LoadRequest request,
             ConnectionPool::Clock::time_point start,
             FinishedCallback finished);

    /** Sends the request; if a connection attempt fails, tries the next host, as a load balancer does. */
    void start();

private:
    void send();
    void readHeader();
    void readBody();
    void parseLines();
    void parseEvent(std::string_view data);
    void parseProblem(std::string_view text);
    void finish(bool isResponseComplete);
    double elapsedMs() const;

    ConnectionPool &m_pool;
    LoadRequest m_request;
    FinishedCallback m_finished;
    CallResult m_result;
    ConnectionPool::Clock::time_point m_started;
    ConnectionPool::Host *m_host = nullptr;
    ConnectionPool::Stream m_stream;
    std::size_t m_attempts = 0;
    boost::beast::http::request<boost::beast::http::string_body> m_message;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
    boost::beast::flat_buffer m_buffer;
    std::array<char, 16384> m_readBuffer{};
    std::string m_body; // received data that has not been parsed yet
    std::string m_content;
    double m_lastTokenMs = 0;
    bool m_isStream = false;
    bool m_hasEndMarker = false; // the event stream has ended with [DONE]
};

} // namespace sapphirecove::load
