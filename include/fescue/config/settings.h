#pragma once

#include "fescue/config/errorlist.h"
#include "fescue/config/hostport.h"
#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue {

// Bounds on what callers may make a daemon hold.
struct LimitSettings
{
    std::uint64_t maxHeadBytes = 16ULL * 1024;
    std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;
    std::uint32_t maxConnections = 4096;
    // A connection without a request in progress is closed after this time.
    Millis idleTimeout = 60_s;
    // A caller that accepts no bytes for this time is disconnected.
    Millis callerWriteTimeout = 10_s;
    bool operator==(const LimitSettings &) const = default;
};

// Settings of one daemon, which it reads once at its start.
struct DaemonSettings
{
    MemberName name;
    ZoneName zone;
    VmName vm;
    // Where callers and operators connect.
    HostPort listen;
    // Where the other daemons connect.
    HostPort peerListen;
    // Listeners of other daemons to ask for the configuration when the store is down at the start.
    std::vector<HostPort> seedPeers;
    HostPort store;
    Millis storeTimeout = 1_s;
    std::optional<HostPort> vmList;
    std::uint32_t workers = 2;
    // Longest time that a shutdown waits for the requests that are running.
    Millis drainGrace = 600_s;
    LimitSettings limits;
    // "debug", "info", "warning", "error" or "off".
    std::string logLevel = "info";
    bool operator==(const DaemonSettings &) const = default;
};

// Reads the sections [daemon], [store], [vmlist], [limits] and [log].
[[nodiscard]] Checked<DaemonSettings> parseSettings(std::string_view text, std::string fileName);

// The same from a file.
[[nodiscard]] Checked<DaemonSettings> loadSettings(const std::string &path);

} // namespace fescue
