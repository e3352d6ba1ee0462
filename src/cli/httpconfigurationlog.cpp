#include "cli/httpconfigurationlog.h"

#include <thread>

namespace sapphirecove::cli {

namespace {

/** Time for an answer in addition to the wait that the request asks for. */
constexpr state::Duration AnswerTimeout = std::chrono::seconds(3);

/** Records of one read; a configuration of the planned scale has about 3 MB. */
constexpr std::size_t RecordsPerRead = 20;

constexpr int StatusOk = 200;

} // namespace

HttpConfigurationLog::HttpConfigurationLog(const protocol::Endpoint &endpoint)
    : m_peer(toString(endpoint))
    , m_client(endpoint)
{
}

state::Result<protocol::LogReadResponse> HttpConfigurationLog::read(state::Offset from, state::Duration wait)
{
    const std::string path = protocol::readPath(state::Stream::Configuration, from, RecordsPerRead, wait);
    BOOST_LEAF_AUTO(response, m_client.fetch(path, wait + AnswerTimeout));
    if (response.status != StatusOk) {
        return state::fail("log.read", m_peer, "status " + std::to_string(response.status));
    }
    return protocol::decodeReadResponse(state::Stream::Configuration, response.body, m_peer);
}

state::Result<void> HttpConfigurationLog::append(const state::ConfigurationPublished &record)
{
    const state::LogRecord records[] = { record };
    const std::string body = protocol::encodeAppendBody(records);
    BOOST_LEAF_AUTO(response, m_client.post(protocol::appendPath(state::Stream::Configuration), body, AnswerTimeout));
    if (response.status != StatusOk) {
        return state::fail("log.append", m_peer, "status " + std::to_string(response.status));
    }
    return {};
}

state::Time HttpConfigurationLog::now()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return state::Time(std::chrono::duration_cast<state::Duration>(sinceEpoch));
}

void HttpConfigurationLog::pause(state::Duration duration)
{
    std::this_thread::sleep_for(duration);
}

} // namespace sapphirecove::cli
