#pragma once

#include "fescue/core/memberinfo.h"
#include "fescue/core/result.h"
#include "fescue/serving/rolloutevidence.h"
#include "fescue/serving/rolloutplan.h"

#include <string>
#include <string_view>
#include <variant>

namespace fescue::serving {

// What a process reports to the collectors of a roll-out.
struct RolloutReport
{
    MemberName from;
    Incarnation incarnation;
    ServiceName service;
    // Revision of the order as the sender knows it.
    net::StoreRevision order;
    // Latest change of the record that the sender knows.
    std::uint64_t change = 0;
    // Requests of the sender that are open at endpoints of the old versions.
    std::uint32_t openAtOld = 0;
    // The sender's calls to the store fail, so it cannot be a collector.
    bool isRejected = false;
    RolloutEvidence evidence;
    // Contents of the order, which has another revision in a restored store.
    std::string version;
    Millis duration {0};
    RolloutCounts counts;

    bool operator==(const RolloutReport &) const = default;
};

// Permits processes to send requests to the new version for a short time.
struct RolloutPermit
{
    MemberName from;
    ServiceName service;
    net::StoreRevision order;
    // Time since the order.
    Millis age {0};
    // The version is bad: nothing may be sent to it any more.
    bool isHalted = false;
    bool isRejected = false;
    // Contents of the order, which has another revision in a restored store.
    std::string version;
    Millis duration {0};

    bool operator==(const RolloutPermit &) const = default;
};

using RolloutNotice = std::variant<RolloutReport, RolloutPermit>;

// Routes of which one report can hold the answers; further ones are added up under no name.
inline constexpr std::size_t maxReportedRoutes = 20;

// Encodes as CBOR.
[[nodiscard]] std::string encodeRolloutNotice(const RolloutNotice &notice);
// Fails with MessageMalformed.
[[nodiscard]] Result<RolloutNotice> decodeRolloutNotice(std::string_view bytes);

} // namespace fescue::serving
