#include "bench/loadcall.h"

#include <boost/json.hpp>

namespace sapphirecove::load {

namespace http = boost::beast::http;
namespace json = boost::json;
using boost::system::error_code;

namespace {

/** Time without progress on the connection after which a request fails. */
constexpr auto IdleTimeout = std::chrono::seconds(60);

std::string stringField(const json::value &value, const char *name)
{
    const auto *object = value.if_object();
    const auto *field = object == nullptr ? nullptr : object->if_contains(name);
    return field != nullptr && field->is_string() ? json::value_to<std::string>(*field) : std::string();
}

std::string deltaContent(const json::value &chunk)
{
    const auto *choices = chunk.is_object() ? chunk.get_object().if_contains("choices") : nullptr;
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
        return {};
    }
    const auto &choice = choices->get_array().front();
    const auto *delta = choice.is_object() ? choice.get_object().if_contains("delta") : nullptr;
    return delta == nullptr ? std::string() : stringField(*delta, "content");
}

} // namespace

LoadCall::LoadCall(ConnectionPool &pool,
                   LoadRequest request,
                   ConnectionPool::Clock::time_point start,
                   FinishedCallback finished)
    : m_pool(pool)
    , m_request(std::move(request))
    , m_finished(std::move(finished))
    , m_started(ConnectionPool::Clock::now())
{
    m_result.startedMs = std::chrono::duration<double, std::milli>(m_started - start).count();
    m_result.requestClass = m_request.requestClass->name;
    m_result.tier = m_request.requestClass->tier;
    m_result.customer = m_request.customer->name;
    m_result.deadlineMs = m_request.requestClass->deadlineMs;
}

double LoadCall::elapsedMs() const
{
    return std::chrono::duration<double, std::milli>(ConnectionPool::Clock::now() - m_started).count();
}

void LoadCall::start()
{
    ++m_attempts;
    m_host = &m_pool.chooseHost();
    m_result.host = m_host->name;
    m_stream = m_pool.acquire(*m_host);
    m_stream->expires_after(IdleTimeout);
    if (m_stream->socket().is_open()) {
        send();
        return;
    }
    m_stream->async_connect(m_host->endpoint, [self = shared_from_this()](error_code error) {
        if (!error) {
            boost::system::error_code ignored;
            self->m_stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            self->send();
            return;
        }
        self->m_pool.markDown(*self->m_host);
        if (self->m_attempts < self->m_pool.size()) {
            self->start();
        } else {
            self->finish(false);
        }
    });
}

void LoadCall::send()
{
    m_message = { http::string_to_verb(m_request.method), m_request.target, 11 };
    m_message.set(http::field::host, m_host->name);
    m_message.set(http::field::authorization, "Bearer " + m_request.customer->key);
    m_message.set("X-Tier", m_request.requestClass->tier);
    m_message.set("X-Deadline-Ms", std::to_string(m_request.requestClass->deadlineMs));
    if (!m_request.idempotencyKey.empty()) {
        m_message.set("Idempotency-Key", m_request.idempotencyKey);
    }
    if (!m_request.body.empty()) {
        m_message.set(http::field::content_type, "application/json");
        m_message.body() = m_request.body;
    }
    m_message.prepare_payload();
    http::async_write(*m_stream, m_message, [self = shared_from_this()](error_code error, std::size_t) {
        if (error) {
            self->finish(false);
            return;
        }
        self->readHeader();
    });
}

void LoadCall::readHeader()
{
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    http::async_read_header(*m_stream, m_buffer, *m_parser, [self = shared_from_this()](error_code error, std::size_t) {
        if (error) {
            self->finish(false);
            return;
        }
        const auto &header = self->m_parser->get();
        self->m_result.status = static_cast<int>(header.result_int());
        self->m_isStream = header[http::field::content_type].starts_with("text/event-stream");
        self->readBody();
    });
}

void LoadCall::readBody()
{
    if (m_parser->is_done()) {
        finish(true);
        return;
    }
    m_parser->get().body().data = m_readBuffer.data();
    m_parser->get().body().size = m_readBuffer.size();
    m_stream->expires_after(IdleTimeout);
    http::async_read_some(*m_stream, m_buffer, *m_parser, [self = shared_from_this()](error_code error, std::size_t) {
        if (error && error != http::error::need_buffer) {
            self->finish(false);
            return;
        }
        self->m_body.append(self->m_readBuffer.data(), self->m_readBuffer.size() - self->m_parser->get().body().size);
        if (self->m_isStream) {
            self->parseLines();
        }
        self->readBody();
    });
}

void LoadCall::parseLines()
{
    std::size_t start = 0;
    for (auto end = m_body.find('\n'); end != std::string::npos; end = m_body.find('\n', start)) {
        const auto line = std::string_view(m_body).substr(start, end - start);
        if (line.starts_with("data: ")) {
            parseEvent(line.substr(sizeof("data: ") - 1));
        }
        start = end + 1;
    }
    m_body.erase(0, start);
}

void LoadCall::parseEvent(std::string_view data)
{
    if (data == "[DONE]") {
        m_hasEndMarker = true;
        return;
    }
    error_code error;
    const auto chunk = json::parse({ data.data(), data.size() }, error);
    const auto content = error ? std::string() : deltaContent(chunk);
    if (content.empty()) {
        parseProblem(data);
        return;
    }
    const double now = elapsedMs();
    if (m_result.tokens == 0) {
        m_result.firstTokenMs = now;
    } else {
        m_result.tokenGapsMs.push_back(static_cast<float>(now - m_lastTokenMs));
    }
    m_lastTokenMs = now;
    ++m_result.tokens;
    m_content += content;
}

void LoadCall::parseProblem(std::string_view text)
{
    error_code error;
    const auto problem = json::parse({ text.data(), text.size() }, error);
    if (!error && !stringField(problem, "reason").empty()) {
        m_result.reason = stringField(problem, "reason");
        m_result.executed = stringField(problem, "executed");
    }
}

void LoadCall::finish(bool isResponseComplete)
{
    m_result.totalMs = elapsedMs();
    if (m_result.status != 200 && isResponseComplete) {
        parseProblem(m_body);
    }
    if (m_result.status != 0 && m_result.status != 200 && m_result.reason.empty()) {
        m_result.reason = "status_" + std::to_string(m_result.status);
    }
    m_result.isComplete = isResponseComplete && (!m_isStream || m_hasEndMarker);
    if (m_isStream) {
        const bool isPrefix = m_request.expectedContent.starts_with(m_content);
        m_result.isWrong = !isPrefix || (m_result.isComplete && m_content != m_request.expectedContent);
    }
    if (isResponseComplete && m_parser->keep_alive()) {
        m_pool.release(*m_host, std::move(m_stream));
    }
    m_finished(std::move(m_result));
}

} // namespace sapphirecove::load
