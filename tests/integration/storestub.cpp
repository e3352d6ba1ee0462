#include "tests/integration/storestub.h"

#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>

namespace sapphirecove::integration {

namespace {

/** Longest wait of a read for records, so that the test can end the connections. */
constexpr auto MaxReadWait = std::chrono::milliseconds(200);

/** Bytes of the length before a record, and of the length of its key. */
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t KeyLengthBytes = 1;

std::string base64(const std::string &text)
{
    namespace codec = boost::beast::detail::base64;
    std::string result(codec::encoded_size(text.size()), '\0');
    result.resize(codec::encode(result.data(), text.data(), text.size()));
    return result;
}

std::string bigEndian(std::uint64_t number, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t i = bytes; i-- > 0; number >>= 8U) {
        text[i] = static_cast<char>(number & 255U);
    }
    return text;
}

/** Returns the value of the field @p name in the query of @p request; empty if there is none. */
std::string queryField(const std::string &request, const std::string &name)
{
    std::size_t at = request.find('?' + name + '=');
    at = at == std::string::npos ? request.find('&' + name + '=') : at;
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 2;
    return request.substr(begin, request.find_first_of("& ", begin) - begin);
}

std::size_t numberField(const std::string &request, const std::string &name)
{
    return std::strtoul(queryField(request, name).c_str(), nullptr, 10);
}

} // namespace

StoreStub::StoreStub(const std::map<std::string, std::map<std::string, std::string>> &records)
    : m_acceptor(m_context, tests::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , m_port(m_acceptor.local_endpoint().port())
{
    for (const auto &[topic, documents] : records) {
        for (const auto &[key, document] : documents) {
            put(topic, key, document);
        }
    }
    m_thread = std::thread([this] {
        run();
    });
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

void StoreStub::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({ key, value });
    m_changed.notify_all();
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

void StoreStub::serve(tests::BlockingConnection &connection)
{
    while (!m_stopping) {
        const std::string request = connection.readRequest();
        if (request.empty()) {
            return;
        }
        const std::string body = respond(request);
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
}

std::string StoreStub::respond(const std::string &request)
{
    const std::string topic = queryField(request, "topic");
    if (request.starts_with("GET /log-newest")) {
        return newestOf(topic);
    }
    if (request.starts_with("GET /log-read")) {
        return readSince(
            topic, numberField(request, "from"), std::chrono::milliseconds(numberField(request, "waitMs")));
    }
    return append(topic, std::string_view(request).substr(request.find("\r\n\r\n") + 4));
}

std::string StoreStub::newestOf(const std::string &topic)
{
    const std::lock_guard lock(m_mutex);
    const auto &records = m_topics[topic];
    std::map<std::string, std::size_t> newest;
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
        newest[records[offset].key] = offset;
    }
    std::string items;
    for (const auto &[key, offset] : newest) {
        if (!records[offset].value.empty()) {
            items += (items.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")"
                + base64(records[offset].value) + R"(","offset":)" + std::to_string(offset) + '}';
        }
    }
    return R"({"items":[)" + items + R"(],"hasMore":false,"end":)" + std::to_string(records.size()) + '}';
}

std::string StoreStub::readSince(const std::string &topic, std::size_t from, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    const auto &records = m_topics[topic];
    m_changed.wait_for(lock, std::min(wait, MaxReadWait), [&] {
        return records.size() > from;
    });
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t offset = from; offset < records.size(); ++offset) {
        const auto &[key, value] = records[offset];
        body += bigEndian(KeyLengthBytes + key.size() + value.size(), LengthBytes)
            + bigEndian(key.size(), KeyLengthBytes) + key + value;
    }
    return body;
}

/** Appends the only record in @p body, in the form of the store's protocol. */
std::string StoreStub::append(const std::string &topic, std::string_view body)
{
    if (body.size() > LengthBytes) {
        const auto keyBytes = static_cast<unsigned char>(body[LengthBytes]);
        const std::string_view record = body.substr(LengthBytes + KeyLengthBytes);
        put(topic, std::string(record.substr(0, keyBytes)), std::string(record.substr(keyBytes)));
    }
    const std::lock_guard lock(m_mutex);
    const std::size_t end = m_topics[topic].size();
    return R"({"offset":)" + std::to_string(end - 1) + R"(,"end":)" + std::to_string(end) + '}';
}

} // namespace sapphirecove::integration
