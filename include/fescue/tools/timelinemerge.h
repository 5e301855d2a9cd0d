#pragma once

#include "fescue/core/result.h"
#include "fescue/observe/timeline.h"

#include <string>
#include <string_view>
#include <vector>

namespace fescue::tools {

// Reads the text that Timeline::toJson() writes.
[[nodiscard]] Result<std::vector<observe::Event>> parseTimeline(std::string_view text);

// Puts the events of all processes into one list by time. Events of one process at the same time
// keep their order.
[[nodiscard]] std::vector<observe::Event>
mergeTimelines(const std::vector<std::vector<observe::Event>> &timelines);

// Returns one line for each event: time of the wall clock in UTC, process, kind, subject, detail.
[[nodiscard]] std::string formatText(const std::vector<observe::Event> &events);

// Returns the events in the Chrome trace event format, one row for each process.
[[nodiscard]] std::string formatTrace(const std::vector<observe::Event> &events);

} // namespace fescue::tools
