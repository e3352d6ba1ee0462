#include "standins/weightdownload.h"

#include <charconv>

namespace sapphirecove::standins {

namespace http = boost::beast::http;

namespace {

constexpr auto RetryDelay = std::chrono::seconds(1);
constexpr int MaxAttempts = 3600;

} // namespace

WeightDownload::WeightDownload(boost::asio::io_context &context,
                               std::string store,
                               std::string version,
                               std::function<void()> completed)
    : m_socket(context)
    , m_timer(context)
    , m_store(std::move(store))
    , m_version(std::move(version))
    , m_onCompleted(std::move(completed))
{
}

void WeightDownload::start()
{
    if (m_isStopped) {
        return;
    }
    const auto colon = m_store.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        std::from_chars(m_store.data() + colon + 1, m_store.data() + m_store.size(), port);
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(m_store.substr(0, colon), error);
    if (error) {
        return;
    }
    m_socket.async_connect({ address, port }, [self = shared_from_this()](boost::system::error_code failure) {
        if (failure) {
            self->retry();
        } else {
            self->sendRequest();
        }
    });
}

void WeightDownload::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void WeightDownload::sendRequest()
{
    m_request = { http::verb::get, "/v1/weights/" + m_version, 11 };
    m_request.set(http::field::host, m_store);
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_buffer.clear();
    http::async_write(m_socket, m_request, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error) {
            self->retry();
            return;
        }
        self->readBody();
    });
}

void WeightDownload::readBody()
{
    m_parser->get().body().data = m_chunk.data();
    m_parser->get().body().size = m_chunk.size();
    http::async_read(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            const bool hasFailed = error && error != http::error::need_buffer;
            if (hasFailed || self->m_parser->get().result() != http::status::ok) {
                self->retry();
            } else if (!self->m_parser->is_done()) {
                self->readBody();
            } else if (!self->m_isStopped) {
                self->m_onCompleted();
            }
        });
}

void WeightDownload::retry()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (m_isStopped || ++m_attempts >= MaxAttempts) {
        return;
    }
    m_timer.expires_after(RetryDelay);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->start();
        }
    });
}

} // namespace sapphirecove::standins
