#pragma once

#include "fescue/observe/timeline.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fescue::tools {

// A line that observe::logChange() has written.
struct LogLine
{
    std::int64_t wallMillis = 0;
    std::string level;
    std::string process;
    std::string event;
    // The other keys and values, in their order, without quotes.
    std::vector<std::pair<std::string, std::string>> fields;

    // Value of a field; nothing where the line has none of that name.
    [[nodiscard]] std::optional<std::string_view> field(std::string_view key) const noexcept;
};

// Reads one line. What collectors put before "ts=" is skipped. Returns nothing for other texts.
[[nodiscard]] std::optional<LogLine> parseLogLine(std::string_view text);

struct LogEvents
{
    std::vector<observe::Event> events;
    // Lines that are no log lines.
    std::size_t otherLines = 0;
};

// Reads the output of processes, as events whose subject is the first field and whose detail holds
// the others. With `id`, only lines whose field "id" has this value.
[[nodiscard]] LogEvents parseLog(std::string_view text, const std::optional<std::string> &id);

} // namespace fescue::tools
