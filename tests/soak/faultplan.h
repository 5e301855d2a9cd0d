#pragma once

#include "fescue/core/clock.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace fescue::soak {

enum class FaultKind : std::uint8_t
{
    EntryKilled,
    EntryStopped,
    EntryPaused,
    EntryReloads,
    ManyEntriesKilled,
    AllEntriesKilled,
    StoreUnavailable,
    StoreReset,
    StoreHangs,
    StoreSlow,
    StoreLosesAnswers,
    StoreDropsHistory,
    StoreTurnsEntryAway,
    EntriesLapse,
    StoreLinkSilent,
    StoreLinkOneWay,
    StoreLinkRefuses,
    StoreConnectionsSilenced,
    CallerLinkReset,
    CallerLinkDelayed,
    CallerConnectionsSilenced,
    EndpointDrains,
    EndpointCrashes,
    EndpointAddressReused,
    EndpointGrey,
    EndpointLosesAnswers,
    EndpointTruncates,
    EndpointSheds,
    EndpointGarbles,
    EndpointLinkDelayed,
    EndpointLinkSilent,
    EndpointConnectionsReset,
    EndpointConnectionsSilenced,
    ConfigMovesRoute,
    ConfigChangesKey,
    ConfigChangesRoute,
    ConfigGrows,
    ConfigStorm,
    ZoneOut,
    EndpointSaysLeaving,
    EndpointAsksPause,
    EndpointEndless,
    StoreComesBackOlder,
    OddEntries,
    EntryAddressHeld,
    SettingsIncompleteAtStart,
    SettingsIncompleteAtReload,
    HangupsAroundStop,
    StopSignalledTwice,
    ManyEntriesStopped,
    StopBesideStoreAway,
    StopBesideCutLink,
    StopBesideLeavingEndpoints,
    StopBesideLargeBodies,
    PauseInStop,
    ClientCrowdComes,
};
inline constexpr std::size_t faultKinds = static_cast<std::size_t>(FaultKind::ClientCrowdComes) + 1;
// Kinds of the first draw, of the first two and so on. Later ones are drawn beside them, so that
// the faults of a seed that once failed stay the same.
inline constexpr std::size_t firstDrawKinds = static_cast<std::size_t>(FaultKind::ZoneOut) + 1;
inline constexpr std::size_t secondDrawKinds =
    static_cast<std::size_t>(FaultKind::EndpointEndless) + 1;
inline constexpr std::size_t thirdDrawKinds =
    static_cast<std::size_t>(FaultKind::StoreComesBackOlder) + 1;
inline constexpr std::size_t fourthDrawKinds = static_cast<std::size_t>(FaultKind::OddEntries) + 1;
inline constexpr std::size_t fifthDrawKinds = static_cast<std::size_t>(FaultKind::PauseInStop) + 1;

// The first seed with crowds of clients outside the limits, beside all other faults.
inline constexpr std::uint64_t firstSeedOfCrowds = 2000;
// The first seed with faults of the fifth draw and with endpoints whose work is long at times.
inline constexpr std::uint64_t firstSeedOfStops = 1000;

[[nodiscard]] std::string_view toString(FaultKind kind) noexcept;

// One fault, from the start of traffic on.
struct Fault
{
    Millis at {0};
    FaultKind kind = FaultKind::EntryKilled;
    Millis lasts {0};
    // Chooses what is hit, modulo the number of things there are.
    std::uint32_t target = 0;
    // In [0, 1): how strong.
    double strength = 0;
};

// Draws the faults of a run from its seed; some runs get few, some many at once, and `density`
// times as many where that is not 1. In order of time, all over by `end`.
[[nodiscard]] std::vector<Fault> drawFaults(std::uint64_t seed, Millis end, double density = 1);

} // namespace fescue::soak
