#include "fescue/tools/loglines.h"

#include "fescue/observe/log.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>

namespace fescue::tools {

namespace {

constexpr std::string_view timeKey = "ts=";

// Reads a decimal number of exactly `n` digits from the front of the text.
std::optional<int> takeNumber(std::string_view &text, std::size_t n)
{
    int number = 0;
    if (text.size() < n)
        return std::nullopt;
    const std::from_chars_result read = std::from_chars(text.data(), text.data() + n, number);
    if (read.ec != std::errc() || read.ptr != text.data() + n || number < 0)
        return std::nullopt;
    text.remove_prefix(n);
    return number;
}

bool takeChar(std::string_view &text, char expected)
{
    if (!text.starts_with(expected))
        return false;
    text.remove_prefix(1);
    return true;
}

// Reads a time as in 2026-01-31T12:00:00.123Z.
std::optional<std::int64_t> parseTime(std::string_view text)
{
    struct Part
    {
        std::size_t digits;
        char follows;
    };
    constexpr std::array<Part, 7> parts {
        {{4, '-'}, {2, '-'}, {2, 'T'}, {2, ':'}, {2, ':'}, {2, '.'}, {3, 'Z'}}};
    std::array<int, parts.size()> numbers {};
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const std::optional<int> number = takeNumber(text, parts[i].digits);
        if (!number || !takeChar(text, parts[i].follows))
            return std::nullopt;
        numbers[i] = *number;
    }
    const std::chrono::year_month_day date {std::chrono::year(numbers[0]),
                                            std::chrono::month(static_cast<unsigned>(numbers[1])),
                                            std::chrono::day(static_cast<unsigned>(numbers[2]))};
    if (!date.ok() || !text.empty())
        return std::nullopt;
    const std::chrono::sys_time<std::chrono::milliseconds> time = std::chrono::sys_days(date)
        + std::chrono::hours(numbers[3]) + std::chrono::minutes(numbers[4])
        + std::chrono::seconds(numbers[5]) + std::chrono::milliseconds(numbers[6]);
    return time.time_since_epoch().count();
}

// Takes a value up to the next space, or a quoted one, from the front of the text.
std::optional<std::string> takeValue(std::string_view &text)
{
    std::string value;
    if (!takeChar(text, '"')) {
        const std::size_t end = std::min(text.find(' '), text.size());
        value = text.substr(0, end);
        text.remove_prefix(end);
        return value;
    }
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\')
            text.remove_prefix(1);
        if (text.empty())
            return std::nullopt;
        value += text.front();
        text.remove_prefix(1);
    }
    if (!takeChar(text, '"'))
        return std::nullopt;
    return value;
}

observe::Event toEvent(const LogLine &line)
{
    observe::Event event {line.wallMillis, line.process, line.event, {}, {}};
    for (std::size_t i = 0; i < line.fields.size(); ++i) {
        std::string &text = i == 0 ? event.subject : event.detail;
        if (!text.empty())
            text += ' ';
        text += observe::formatField(line.fields[i].first, line.fields[i].second);
    }
    return event;
}

} // namespace

std::optional<std::string_view> LogLine::field(std::string_view key) const noexcept
{
    const auto it = std::find_if(
        fields.begin(), fields.end(),
        [key](const std::pair<std::string, std::string> &entry) { return entry.first == key; });
    return it == fields.end() ? std::nullopt : std::optional<std::string_view>(it->second);
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    const std::size_t start = text.find(timeKey);
    if (start == std::string_view::npos || (start > 0 && text[start - 1] != ' '))
        return std::nullopt;
    text.remove_prefix(start);
    LogLine line;
    std::optional<std::int64_t> time;
    while (!text.empty()) {
        const std::size_t equals = text.find('=');
        if (equals == std::string_view::npos)
            return std::nullopt;
        const std::string key(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        std::optional<std::string> value = takeValue(text);
        if (!value || (!text.empty() && !takeChar(text, ' ')))
            return std::nullopt;
        if (key == "ts")
            time = parseTime(*value);
        else if (key == "level")
            line.level = std::move(*value);
        else if (key == "process")
            line.process = std::move(*value);
        else if (key == "event")
            line.event = std::move(*value);
        else
            line.fields.emplace_back(key, std::move(*value));
    }
    if (!time || line.process.empty() || line.event.empty())
        return std::nullopt;
    line.wallMillis = *time;
    return line;
}

LogEvents parseLog(std::string_view text, const std::optional<std::string> &id)
{
    LogEvents log;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view row = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (row.empty())
            continue;
        const std::optional<LogLine> line = parseLogLine(row);
        if (!line)
            ++log.otherLines;
        else if (!id || line->field("id") == *id)
            log.events.push_back(toEvent(*line));
    }
    return log;
}

} // namespace fescue::tools
