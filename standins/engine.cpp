#include "standins/engine.h"

#include "standins/completions.h"

#include <algorithm>

namespace sapphirecove::standins {

namespace json = boost::json;

namespace {

constexpr auto StepInterval = std::chrono::milliseconds(2);
constexpr auto ReportInterval = std::chrono::milliseconds(100);
/** Longest simulated step in seconds; a process that was stopped doesn't catch up on the time it missed. */
constexpr double MaxStep = 0.1;
constexpr int MaxTokensLimit = 200'000;
/** Ended streams kept for resumption. */
constexpr std::size_t MaxKeptStreams = 20'000;
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;

std::string promptTextOf(const json::object &body)
{
    std::string text;
    const auto *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        return text;
    }
    for (const auto &message : messages->get_array()) {
        const auto *content = message.is_object() ? message.get_object().if_contains("content") : nullptr;
        if (content != nullptr && content->is_string()) {
            text.append(content->get_string().data(), content->get_string().size());
        }
    }
    return text;
}

int maxTokensOf(const json::object &body)
{
    for (const char *name : { "max_tokens", "max_completion_tokens" }) {
        const auto *value = body.if_contains(name);
        if (value != nullptr && value->is_int64()) {
            return static_cast<int>(std::clamp<std::int64_t>(value->get_int64(), 1, MaxTokensLimit));
        }
    }
    return DefaultMaxTokens;
}

json::value errorBody(const std::string &message)
{
    return { { "error", { { "message", message } } } };
}

} // namespace

Engine::Engine(boost::asio::io_context &context, std::uint16_t port, EngineOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_loadTimer(context)
    , m_stepTimer(context)
    , m_reportTimer(context)
    , m_server(context, port, [this](const Connection &connection) {
        handle(connection);
    })
{
    m_batch.admitted = [this](EngineStream &stream) {
        const auto blocks = m_cache.match(stream.blocks);
        stream.cachedTokens = static_cast<int>(blocks * BlockBytes / BytesPerToken);
        stream.prefillLeft = std::max(stream.promptTokens - stream.cachedTokens, 1);
        stream.record->cachedTokens = stream.cachedTokens;
    };
    m_batch.prefilled = [this](EngineStream &stream) {
        const auto change = m_cache.insert(stream.blocks, static_cast<std::size_t>(std::max(m_options.cacheBlocks, 0)));
        m_cacheEvents.append("added", change.added, wallClockUs(), draw(m_options.cacheEventLossRate));
        m_cacheEvents.append("removed", change.removed, wallClockUs(), draw(m_options.cacheEventLossRate));
    };
    m_batch.ended = [this](EngineStream &stream) {
        if (!stream.isStreamed) {
            sendDocument(stream);
        }
    };
    recordLoad();
}

void Engine::handle(const Connection &connection)
{
    const auto &request = connection->request();
    const auto target = parseTarget({ request.target().data(), request.target().size() });
    const std::string streams = "/v1/streams/";
    const std::string cancelSuffix = "/cancel";
    if (target.path == "/v1/chat/completions" && request.method() == http::verb::post) {
        complete(connection);
    } else if (target.path == "/v1/load") {
        connection->reply(200, loadReport());
    } else if (target.path == "/v1/cache_events") {
        const std::int64_t lag = m_options.cacheEventLagMs * MicrosecondsPerMillisecond;
        connection->reply(200, m_cacheEvents.toJson(target.number("from", 0), wallClockUs() - lag));
    } else if (target.path == "/v1/orders" && request.method() == http::verb::post) {
        order(connection);
    } else if (target.path.starts_with(streams) && target.path.ends_with(cancelSuffix)) {
        cancel(connection,
               target.path.substr(streams.size(), target.path.size() - streams.size() - cancelSuffix.size()));
    } else if (target.path.starts_with(streams)) {
        resume(connection, target.path.substr(streams.size()));
    } else {
        handleControl(connection, target);
    }
}

void Engine::handleControl(const Connection &connection, const RequestTarget &target)
{
    if (target.path == "/standin/records") {
        connection->reply(200, m_log.toJson(target.number("from", 0)));
        return;
    }
    if (target.path == "/standin/orders") {
        connection->reply(200, m_orders.toJson(target.number("from", 0)));
        return;
    }
    if (target.path == "/standin/options" && connection->request().method() == http::verb::post) {
        EngineOptions changed = m_options;
        const auto problem = applyEngineJson(changed, parseOrNull(connection->request().body()));
        if (!problem.empty()) {
            connection->reply(400, errorBody(problem));
            return;
        }
        m_options = changed;
        connection->reply(200, { { "version", m_options.version } });
        return;
    }
    connection->reply(404, errorBody("no such path"));
}

void Engine::complete(const Connection &connection)
{
    const auto record = m_log.add(connection->request());
    const auto body = parseOrNull(connection->request().body());
    if (!body.is_object()) {
        record->state = "failed";
        record->status = 400;
        connection->reply(400, errorBody("body is no JSON object"));
        return;
    }
    auto stream = makeStream(body.get_object(), connection);
    stream->record = record;
    record->version = stream->version;
    record->promptTokens = stream->promptTokens;
    const auto *faults = faultsFor(promptTextOf(body.get_object()));
    stream->slowdown = faults == nullptr ? 1 : std::max(faults->slowdown, 1e-3);
    const bool isFull = m_batch.waiting() >= static_cast<std::size_t>(std::max(m_options.maxWaiting, 0));
    if (isFull || draw(m_options.errorRate) || (faults != nullptr && draw(faults->errorRate))) {
        record->state = "failed";
        record->status = isFull ? 503 : 500;
        record->endedUs = wallClockUs();
        connection->reply(static_cast<unsigned>(record->status),
                          errorBody(isFull ? "queue full" : "engine failure"),
                          { { "X-Version", stream->version } });
        return;
    }
    record->status = 200;
    stream->losesAnswer = draw(m_options.lostAnswerRate);
    if (stream->isStreamed) {
        connection->beginChunks("text/event-stream", { { "X-Version", stream->version } });
    }
    keepStream(stream);
    m_batch.submit(stream);
    wake();
}

Engine::Stream Engine::makeStream(const json::object &body, const Connection &connection)
{
    auto stream = std::make_shared<EngineStream>();
    const std::string text = promptTextOf(body);
    const auto id = connection->request()["X-Request-Id"];
    stream->id = std::string(id.data(), id.size());
    if (const auto *model = body.if_contains("model"); model != nullptr && model->is_string()) {
        stream->model = json::value_to<std::string>(*model);
    }
    if (const auto *streamed = body.if_contains("stream"); streamed != nullptr && streamed->is_bool()) {
        stream->isStreamed = streamed->get_bool();
    }
    stream->version = m_options.version;
    stream->hash = promptHash(text);
    stream->blocks = blockHashes(text);
    stream->promptTokens = tokensOf(text.size());
    stream->maxTokens = maxTokensOf(body);
    stream->reader = connection;
    return stream;
}

const VersionFaults *Engine::faultsFor(const std::string &promptText)
{
    const int before = m_requestsOfVersion[m_options.version]++;
    const auto found = m_options.versions.find(m_options.version);
    if (found == m_options.versions.end()) {
        return nullptr;
    }
    const auto &faults = found->second;
    const bool applies = before >= faults.afterRequests && static_cast<int>(m_batch.running()) > faults.aboveRunning
        && promptText.starts_with(faults.promptPrefix);
    return applies ? &faults : nullptr;
}

void Engine::keepStream(const Stream &stream)
{
    m_open.push_back(stream);
    if (stream->id.empty()) {
        return;
    }
    m_streams[stream->id] = stream;
    m_streamOrder.push_back(stream->id);
    if (m_streamOrder.size() > MaxKeptStreams) {
        m_streams.erase(m_streamOrder.front());
        m_streamOrder.pop_front();
    }
}

void Engine::resume(const Connection &connection, const std::string &id)
{
    const auto found = m_streams.find(id);
    if (!m_options.resumes || found == m_streams.end() || !found->second->isStreamed || found->second->isCancelled) {
        connection->reply(404, errorBody("no such stream"));
        return;
    }
    const auto &stream = found->second;
    const auto last = connection->request()["Last-Event-ID"];
    const auto lastEvent = std::strtol(std::string(last.data(), last.size()).c_str(), nullptr, 10);
    if (lastEvent < 0 || lastEvent > stream->generated + 1) {
        connection->reply(400, errorBody("Last-Event-ID is not an event of this stream"));
        return;
    }
    if (stream->reader != nullptr) {
        stream->reader->abort();
    }
    stream->sentEvents = static_cast<int>(lastEvent);
    stream->reader = connection;
    connection->beginChunks("text/event-stream", { { "X-Version", stream->version } });
    if (std::find(m_open.begin(), m_open.end(), stream) == m_open.end()) {
        m_open.push_back(stream);
    }
    wake();
}

void Engine::cancel(const Connection &connection, const std::string &id)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        connection->reply(404, errorBody("no such stream"));
        return;
    }
    m_batch.cancel(found->second);
    connection->reply(200, { { "cancelled", found->second->isCancelled } });
}

void Engine::order(const Connection &connection)
{
    const auto record = m_orders.add(connection->request());
    const auto body = parseOrNull(connection->request().body());
    const auto *fencing = body.is_object() ? body.get_object().if_contains("fencing") : nullptr;
    const auto *version = body.is_object() ? body.get_object().if_contains("version") : nullptr;
    if (fencing == nullptr || !fencing->is_int64() || version == nullptr || !version->is_string()) {
        record->status = 400;
        connection->reply(400, errorBody("an order has a version and an integer fencing number"));
        return;
    }
    record->version = json::value_to<std::string>(*version);
    if (m_options.checksFencing && m_fencing && fencing->get_int64() < *m_fencing) {
        record->status = 409;
        connection->reply(409, { { "accepted", false }, { "fencing", *m_fencing } });
        return;
    }
    m_fencing = std::max(m_fencing.value_or(0), fencing->get_int64());
    record->status = 200;
    startLoading(record->version);
    if (draw(m_options.lostOrderAnswerRate)) {
        connection->abort();
        return;
    }
    connection->reply(200, { { "accepted", true } });
}

void Engine::startLoading(const std::string &version)
{
    if (version == m_loading) {
        return;
    }
    if (m_download != nullptr) {
        m_download->stop();
        m_download.reset();
    }
    m_loadTimer.cancel();
    m_loading.clear();
    if (version == m_options.version) {
        return;
    }
    m_loading = version;
    if (!m_options.weights.empty()) {
        m_download = std::make_shared<WeightDownload>(m_context, m_options.weights, version, [this, version] {
            becomeVersion(version);
        });
        m_download->start();
        return;
    }
    m_loadTimer.expires_after(std::chrono::microseconds(
        static_cast<std::int64_t>(1000.0 * m_options.loadTimeMs / std::max(m_options.timeFactor, 1e-3))));
    m_loadTimer.async_wait([this, version](boost::system::error_code error) {
        if (!error) {
            becomeVersion(version);
        }
    });
}

void Engine::becomeVersion(const std::string &version)
{
    m_options.version = version;
    m_loading.clear();
    m_download.reset();
}

bool Engine::draw(double rate)
{
    return rate > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < rate;
}

void Engine::wake()
{
    if (m_awake) {
        return;
    }
    m_awake = true;
    m_lastStep = std::chrono::steady_clock::now();
    step();
}

void Engine::step()
{
    const auto now = std::chrono::steady_clock::now();
    const double elapsed = std::chrono::duration<double>(now - m_lastStep).count();
    m_lastStep = now;
    m_batch.advance(m_options, std::min(elapsed, MaxStep) * m_options.timeFactor);
    for (const auto &stream : m_open) {
        if (stream->isStreamed && stream->reader != nullptr) {
            pump(*stream);
        }
    }
    std::erase_if(m_open, [](const Stream &stream) {
        return stream->isEnded && stream->reader == nullptr;
    });
    if (m_open.empty()) {
        m_awake = false;
        return;
    }
    m_stepTimer.expires_after(StepInterval);
    m_stepTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            step();
        }
    });
}

void Engine::recordLoad()
{
    const std::int64_t now = wallClockUs();
    m_reports.push_back({ now, m_batch.running(), m_batch.waiting(), m_options.version, m_loading });
    const std::int64_t lag = m_options.loadLagMs * MicrosecondsPerMillisecond;
    while (m_reports.size() > 1 && m_reports[1].timeUs <= now - lag) {
        m_reports.pop_front();
    }
    m_reportTimer.expires_after(ReportInterval);
    m_reportTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            recordLoad();
        }
    });
}

json::value Engine::loadReport() const
{
    const auto &report = m_reports.front();
    return { { "measured_at_us", report.timeUs },
             { "running", report.running },
             { "waiting", report.waiting },
             { "version", report.version },
             { "loading", !report.loading.empty() } };
}

} // namespace sapphirecove::standins
