#include "protocol/timestamp.h"

#include <charconv>
#include <cstdio>

namespace sapphirecove::protocol {

namespace {

constexpr std::string_view Pattern = "dddd-dd-ddTdd:dd:ddZ";

bool matchesPattern(std::string_view text)
{
    if (text.size() != Pattern.size()) {
        return false;
    }
    for (std::size_t i = 0; i < Pattern.size(); ++i) {
        const bool digit = text[i] >= '0' && text[i] <= '9';
        if (Pattern[i] == 'd' ? !digit : text[i] != Pattern[i]) {
            return false;
        }
    }
    return true;
}

int numberAt(std::string_view text, std::size_t position, std::size_t length)
{
    int number = 0;
    std::from_chars(text.data() + position, text.data() + position + length, number);
    return number;
}

} // namespace

std::optional<state::Time> parseTimestamp(std::string_view text)
{
    if (!matchesPattern(text)) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{ std::chrono::year(numberAt(text, 0, 4)),
                                            std::chrono::month(static_cast<unsigned>(numberAt(text, 5, 2))),
                                            std::chrono::day(static_cast<unsigned>(numberAt(text, 8, 2))) };
    const int hour = numberAt(text, 11, 2);
    const int minute = numberAt(text, 14, 2);
    const int second = numberAt(text, 17, 2);
    if (!date.ok() || hour > 23 || minute > 59 || second > 59) {
        return std::nullopt;
    }
    const auto sinceEpoch = std::chrono::sys_days(date).time_since_epoch() + std::chrono::hours(hour)
        + std::chrono::minutes(minute) + std::chrono::seconds(second);
    return state::Time(sinceEpoch);
}

std::string formatTimestamp(state::Time time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time.time_since_epoch());
    const auto days = std::chrono::floor<std::chrono::days>(seconds);
    const std::chrono::year_month_day date{ std::chrono::sys_days(days) };
    const std::chrono::hh_mm_ss clock(seconds - days);
    char text[48];
    std::snprintf(text,
                  sizeof(text),
                  "%04d-%02u-%02uT%02d:%02d:%02dZ",
                  static_cast<int>(date.year()),
                  static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()),
                  static_cast<int>(clock.hours().count()),
                  static_cast<int>(clock.minutes().count()),
                  static_cast<int>(clock.seconds().count()));
    return text;
}

} // namespace sapphirecove::protocol
