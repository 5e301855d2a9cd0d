#include "fescue/tools/timelinemerge.h"

#include "fescue/core/jsondocument.h"

#include <algorithm>
#include <ctime>
#include <map>
#include <nlohmann/json.hpp>

namespace fescue::tools {

namespace {

using nlohmann::json;
using observe::Event;

tl::unexpected<Error> malformed(const std::string &what)
{
    return fail(ResultCode::MessageMalformed, "this is not a time line: " + what);
}

bool hasText(const json &value, const char *key)
{
    return value.contains(key) && value[key].is_string();
}

// The year 5138; keeps microseconds within 64 bits.
constexpr std::uint64_t maxWallMillis = 100'000'000'000'000;

bool isEvent(const json &value)
{
    if (!value.is_object() || !value.contains("wall_ms") || !value["wall_ms"].is_number_unsigned())
        return false;
    return value["wall_ms"].get<std::uint64_t>() <= maxWallMillis && hasText(value, "kind")
        && hasText(value, "subject") && hasText(value, "detail");
}

std::string formatTime(std::int64_t wallMillis)
{
    const std::time_t seconds = static_cast<std::time_t>(wallMillis / 1000);
    std::tm parts = {};
    gmtime_r(&seconds, &parts);
    char buf[40] = {};
    std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string millis = std::to_string(1000 + wallMillis % 1000);
    return std::string(buf) + '.' + millis.substr(1) + 'Z';
}

std::map<std::string, int> numberProcesses(const std::vector<Event> &events)
{
    std::map<std::string, int> numbers;
    for (const Event &event : events)
        numbers.emplace(event.process, 0);
    int next = 1;
    for (std::pair<const std::string, int> &entry : numbers)
        entry.second = next++;
    return numbers;
}

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

Result<std::vector<Event>> parseTimeline(std::string_view text)
{
    const json value = parseJson(text).value_or(json());
    if (!value.is_object() || !hasText(value, "process"))
        return malformed("no object with a process");
    if (!value.contains("events") || !value["events"].is_array())
        return malformed("no array of events");
    std::vector<Event> events;
    for (const json &element : value["events"]) {
        if (!isEvent(element))
            return malformed("an event lacks wall_ms, kind, subject or detail");
        events.push_back({element["wall_ms"].get<std::int64_t>(),
                          value["process"].get<std::string>(), element["kind"].get<std::string>(),
                          element["subject"].get<std::string>(),
                          element["detail"].get<std::string>()});
    }
    return events;
}

std::vector<Event> mergeTimelines(const std::vector<std::vector<Event>> &timelines)
{
    std::vector<Event> merged;
    for (const std::vector<Event> &timeline : timelines)
        merged.insert(merged.end(), timeline.begin(), timeline.end());
    std::stable_sort(merged.begin(), merged.end(),
                     [](const Event &a, const Event &b) { return a.wallMillis < b.wallMillis; });
    return merged;
}

std::string formatText(const std::vector<Event> &events)
{
    std::string text;
    for (const Event &event : events) {
        text += formatTime(event.wallMillis) + ' ' + event.process + ' ' + event.kind + ' '
            + event.subject;
        if (!event.detail.empty())
            text += ' ' + event.detail;
        text += '\n';
    }
    return text;
}

std::string formatTrace(const std::vector<Event> &events)
{
    constexpr std::int64_t microsPerMilli = 1000;
    json list = json::array();
    const std::map<std::string, int> numbers = numberProcesses(events);
    for (const std::pair<const std::string, int> &entry : numbers)
        list.push_back({{"name", "process_name"},
                        {"ph", "M"},
                        {"pid", entry.second},
                        {"args", {{"name", entry.first}}}});
    for (const Event &event : events)
        list.push_back({{"name", event.kind + ' ' + event.subject},
                        {"cat", event.kind},
                        {"ph", "i"},
                        {"s", "p"},
                        {"ts", event.wallMillis * microsPerMilli},
                        {"pid", numbers.at(event.process)},
                        {"tid", 1},
                        {"args", {{"detail", event.detail}}}});
    return dump({{"displayTimeUnit", "ms"}, {"traceEvents", std::move(list)}});
}

} // namespace fescue::tools
