#include "tests/integration/storestub.h"

#include <boost/beast/core/detail/base64.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace sapphirecove::integration {

namespace {

/** Longest wait of a read for records, so that the test can end the connections. */
constexpr auto ReadWait = std::chrono::milliseconds(200);

std::string base64(const std::string &text)
{
    namespace codec = boost::beast::detail::base64;
    std::string result(codec::encoded_size(text.size()), '\0');
    result.resize(codec::encode(result.data(), text.data(), text.size()));
    return result;
}

std::string topicOf(const std::string &request)
{
    constexpr std::string_view name = "topic=";
    const std::size_t at = request.find(name) + name.size();
    return request.substr(at, request.find_first_of("& ", at) - at);
}

} // namespace

StoreStub::StoreStub(std::map<std::string, std::map<std::string, std::string>> records)
    : m_records(std::move(records))
    , m_acceptor(m_context, tests::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , m_port(m_acceptor.local_endpoint().port())
    , m_thread([this] {
        run();
    })
{
}

StoreStub::~StoreStub()
{
    m_stopping = true;
    tests::BlockingConnection wake(m_port);
    m_thread.join();
    for (auto &thread : m_connections) {
        thread.join();
    }
}

void StoreStub::run()
{
    for (;;) {
        tests::tcp::socket socket = m_acceptor.accept();
        if (m_stopping) {
            return;
        }
        m_connections.emplace_back([this, connection = std::make_shared<tests::BlockingConnection>(std::move(socket))] {
            serve(*connection);
        });
    }
}

void StoreStub::serve(tests::BlockingConnection &connection) const
{
    while (!m_stopping) {
        const std::string request = connection.readRequestHead();
        if (request.empty()) {
            return;
        }
        std::string body;
        if (request.starts_with("GET /log-newest")) {
            body = newestOf(topicOf(request));
        } else if (request.starts_with("GET /log-read")) {
            std::this_thread::sleep_for(ReadWait);
            body = std::string(7, '\0') + '\1' + std::string(8, '\0'); // The end, and the first offset that is kept.
        } else {
            body = R"({"offset":0,"end":1})";
        }
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
}

std::string StoreStub::newestOf(const std::string &topic) const
{
    std::string items;
    const auto found = m_records.find(topic);
    if (found != m_records.end()) {
        for (const auto &[key, document] : found->second) {
            items += (items.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")" + base64(document)
                + R"(","offset":0})";
        }
    }
    return R"({"items":[)" + items + R"(],"hasMore":false,"end":1})";
}

} // namespace sapphirecove::integration
