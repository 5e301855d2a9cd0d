#pragma once

#include "fescue/config/hostport.h"
#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescue::ctl {

// Exit codes; docs/OPERATIONS.md lists them.
enum class ExitCode : std::uint8_t
{
    Ok = 0,
    Failed = 1,
    Invalid = 2,
    VersionConflict = 3,
    StoreUnreachable = 4,
    NotInForce = 5,
};

enum class Command : std::uint8_t
{
    Check,
    Publish,
    Status,
    Diff,
    ZoneOut,
    ZoneIn,
    VmOut,
    VmIn,
    HashKey,
};

// What the command line says.
struct Options
{
    Command command = Command::Status;
    HostPort store;
    Millis storeTimeout = 1_s;
    bool json = false;
    // Files and directories of check, publish and diff. A single file of check whose name ends in
    // ".json" is a configuration of the users' platform.
    std::vector<std::string> paths;
    // A configuration of the users' platform to compare with: a file, or the word "store".
    std::string against;
    // Memory of the smallest process, in MB; 0 if it is not known.
    std::size_t memoryMegabytes = 0;
    std::optional<ConfigVersion> baseVersion;
    // Do not wait until the daemons have the version in force.
    bool noWait = false;
    // The zone or VM.
    std::string name;
    // The key to hash; where absent, one line of standard input.
    std::optional<std::string> key;
};

} // namespace fescue::ctl
