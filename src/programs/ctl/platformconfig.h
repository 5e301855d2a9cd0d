#pragma once

#include "options.h"

namespace fescue::ctl {

// True where the paths name one configuration of the users' platform.
[[nodiscard]] bool isPlatformConfig(const Options &options);

// Reads and checks it as a running process does, and compares it where the options ask for that.
// Returns Ok where nothing is found, Failed where something is, Invalid where a file cannot be
// read, StoreUnreachable where the store does not tell what is in force.
[[nodiscard]] ExitCode checkPlatformConfig(const Options &options);

} // namespace fescue::ctl
