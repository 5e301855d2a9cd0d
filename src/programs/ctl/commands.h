#pragma once

#include "options.h"

namespace fescue::ctl {

// Runs the command of the options. Results go to standard output, errors to standard error.
[[nodiscard]] ExitCode run(const Options &options);

} // namespace fescue::ctl
