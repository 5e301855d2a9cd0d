#pragma once

#include "fescue/config/publisher.h"

#include <string>
#include <string_view>
#include <vector>

namespace fescue::tools {

// Directories are searched for files whose names end like this.
constexpr std::string_view serviceFileSuffix = ".fescue.ini";

// Reads the given files, and all service files below the given directories, sorted by path. A file
// that is named twice is read once.
[[nodiscard]] Checked<std::vector<ServiceFileText>>
readServiceFiles(const std::vector<std::string> &paths);

} // namespace fescue::tools
