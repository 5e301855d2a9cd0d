#pragma once

#include "fescue/core/result.h"

#include <span>
#include <string>

namespace fescue::load {

// Reads the JSON results of several runs and returns a page in Markdown: for each scenario, case
// and policy the median and range over the seeds, and for each target whether it was met.
[[nodiscard]] Result<std::string> summarise(std::span<const std::string> paths);

} // namespace fescue::load
