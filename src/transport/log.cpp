#include "transport/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>

namespace sapphirecove::transport {

namespace {

constexpr const char *LineFormat = "time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{GMT} level=%p %m%n";
constexpr std::array<std::string_view, 5> Levels{ "trace", "debug", "info", "warn", "error" };

/** Maximum number of lines queued for the log thread; about 200 kB at 200 bytes per line. */
constexpr int MaxBufferedLines = 1024;

const log4cxx::LoggerPtr &logger()
{
    static const log4cxx::LoggerPtr Instance = log4cxx::Logger::getLogger("sapphirecove");
    return Instance;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
               return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
           });
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    line += '"';
}

state::Result<void> checkLevel(const std::string &level)
{
    if (std::find(Levels.begin(), Levels.end(), level) == Levels.end()) {
        return state::fail("log.initialize", level, "unknown log level");
    }
    return {};
}

void useAppender(const log4cxx::AppenderPtr &appender, const std::string &level)
{
    logger()->removeAllAppenders();
    logger()->setAdditivity(false);
    logger()->addAppender(appender);
    logger()->setLevel(log4cxx::Level::toLevel(level));
}

} // namespace

state::Result<void> initializeLog(const protocol::LogSettings &settings)
{
    if (auto known = checkLevel(settings.level); !known) {
        return known.error();
    }
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LineFormat);
    log4cxx::AppenderPtr appender;
    if (settings.file.empty()) {
        appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    } else {
        appender = std::make_shared<log4cxx::FileAppender>(layout, settings.file.string(), true);
    }
    useAppender(appender, settings.level);
    return {};
}

state::Result<void> initializeStandardOutputLog(const std::string &level)
{
    if (auto known = checkLevel(level); !known) {
        return known.error();
    }
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LineFormat);
    const auto output = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    const auto buffer = std::make_shared<log4cxx::AsyncAppender>();
    buffer->setBufferSize(MaxBufferedLines);
    buffer->setBlocking(false);
    buffer->addAppender(output);
    useAppender(buffer, level);
    return {};
}

std::string formatEvent(std::string_view event, const std::vector<coordination::LogField> &fields)
{
    std::string line = "event=";
    appendValue(line, event);
    for (const auto &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

void logEvent(std::string_view event, const std::vector<coordination::LogField> &fields)
{
    LOG4CXX_INFO(logger(), formatEvent(event, fields));
}

void logFailure(std::string_view event, const state::Failure &failure)
{
    const std::vector<coordination::LogField> fields{ { "step", failure.step },
                                                      { "peer", failure.peer },
                                                      { "detail", failure.detail } };
    LOG4CXX_WARN(logger(), formatEvent(event, fields));
}

} // namespace sapphirecove::transport
