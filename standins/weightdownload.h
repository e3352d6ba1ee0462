#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sapphirecove::standins {

/** Download of one version from the weight store; retried every second until complete, stopped or out of attempts. */
class WeightDownload : public std::enable_shared_from_this<WeightDownload>
{
public:
    WeightDownload(boost::asio::io_context &context,
                   std::string store,
                   std::string version,
                   std::function<void()> completed);

    void start();
    void stop();

private:
    void sendRequest();
    void readBody();
    void retry();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_store;
    std::string m_version;
    std::function<void()> m_onCompleted;
    boost::beast::http::request<boost::beast::http::empty_body> m_request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
    boost::beast::flat_buffer m_buffer;
    std::array<char, 65536> m_chunk{};
    int m_attempts = 0;
    bool m_isStopped = false;
};

} // namespace sapphirecove::standins
