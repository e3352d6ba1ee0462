#include "tests/integration/httpclient.h"

#include <algorithm>

namespace sapphirecove::integration {

namespace http = boost::beast::http;
using boost::system::error_code;

template <typename Start>
bool HttpStream::run(Start &&start)
{
    if (m_hasFailed) {
        return false;
    }
    error_code result = boost::asio::error::would_block;
    m_stream.expires_after(m_timeout);
    start([&result](error_code error, auto &&...) {
        result = error;
    });
    m_context.restart();
    m_context.run();
    if (result && result != http::error::need_buffer) {
        m_hasFailed = true;
        m_stream.close();
    }
    return !m_hasFailed;
}

HttpStream::HttpStream(const HttpCall &call)
    : m_timeout(call.timeout)
{
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), call.port);
    http::request<http::string_body> request(http::string_to_verb(call.method), call.target, 11);
    request.set(http::field::host, "127.0.0.1:" + std::to_string(call.port));
    request.set(http::field::connection, "close");
    if (!call.body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = call.body;
    request.prepare_payload();
    m_parser.body_limit(boost::none);
    run([&](auto handler) {
        m_stream.async_connect(endpoint, handler);
    });
    run([&](auto handler) {
        http::async_write(m_stream, request, handler);
    });
    if (run([&](auto handler) {
            http::async_read_header(m_stream, m_buffer, m_parser, handler);
        })) {
        m_status = static_cast<int>(m_parser.get().result_int());
        m_isComplete = m_parser.is_done();
    }
}

std::string HttpStream::header(const std::string &name) const
{
    const auto value = m_parser.get()[name];
    return { value.data(), value.size() };
}

bool HttpStream::readSome()
{
    if (m_status == 0 || m_isComplete) {
        return false;
    }
    m_parser.get().body().data = m_readBuffer.data();
    m_parser.get().body().size = m_readBuffer.size();
    const bool ok = run([&](auto handler) {
        http::async_read_some(m_stream, m_buffer, m_parser, handler);
    });
    m_body.append(m_readBuffer.data(), m_readBuffer.size() - m_parser.get().body().size);
    m_isComplete = ok && m_parser.is_done();
    return ok;
}

void HttpStream::readAll()
{
    while (readSome()) { }
}

bool HttpStream::readEvents(std::size_t count)
{
    while (events().size() < count) {
        if (!readSome()) {
            return false;
        }
    }
    return true;
}

std::vector<ServerEvent> HttpStream::events() const
{
    std::vector<ServerEvent> events;
    ServerEvent event;
    std::size_t start = 0;
    for (auto end = m_body.find('\n'); end != std::string::npos; end = m_body.find('\n', start)) {
        std::string line = m_body.substr(start, end - start);
        if (line.ends_with('\r')) {
            line.pop_back();
        }
        start = end + 1;
        if (line.starts_with("id:")) {
            event.id = line.substr(line.find_first_not_of(' ', 3));
        } else if (line.starts_with("data:")) {
            event.data = line.substr(std::min(line.find_first_not_of(' ', 5), line.size()));
        } else if (line.empty() && !event.data.empty()) {
            events.push_back(std::move(event));
            event = {};
        }
    }
    return events;
}

boost::json::value HttpResponse::json() const
{
    error_code error;
    auto value = boost::json::parse(body, error);
    return error ? boost::json::value() : value;
}

HttpResponse call(const HttpCall &call)
{
    HttpStream stream(call);
    stream.readAll();
    return {
        stream.status(), stream.isComplete(), stream.body(), stream.header("Content-Type"), stream.header("Retry-After")
    };
}

std::string textField(const boost::json::value &value, const std::string &name)
{
    const auto *object = value.if_object();
    const auto *field = object == nullptr ? nullptr : object->if_contains(name);
    return field != nullptr && field->is_string() ? boost::json::value_to<std::string>(*field) : std::string();
}

} // namespace sapphirecove::integration
