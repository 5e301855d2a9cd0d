#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/result.h"
#include "fescue/core/snapshot.h"
#include "fescue/emulator/enginesettings.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::load {

// Requests of one client account. Output lengths are log-normal, with a Pareto tail for a part.
struct AccountLoad
{
    std::string name;
    // Part of all requests.
    double share = 0.1;
    double weight = 1.0;
    double medianOutput = 200;
    double sigma = 1.0;
    // Part of the outputs that come from the tail, and the shortest of those.
    double tailPart = 0.01;
    double tailStart = 2500;
    // Prompts start with one of this many prefixes of prefixBlocks blocks.
    std::uint32_t prefixes = 6;
    std::uint32_t prefixBlocks = 14;
    std::uint32_t ownPromptTokens = 200;
};

enum class FaultKind : std::uint8_t
{
    ZoneOut,
    ZoneIn,
    Cold,
    Kill,
    ReportDelay,
    AuthorityChange,
};

// One scripted fault. The target is a zone number for zone faults, else an engine number, from 0.
struct Fault
{
    Millis at {0};
    FaultKind kind = FaultKind::Kill;
    std::uint32_t target = 0;
    // New report lag of ReportDelay.
    Millis delay {0};
};

// A deployment, its load and its faults.
struct Scenario
{
    std::string name;
    Profile profile = Profile::Finish;
    std::uint32_t zones = 3;
    std::uint32_t engines = 12;
    std::uint32_t entries = 8;
    emulator::EngineSettings engine;
    std::vector<AccountLoad> accounts;
    // Offered load as a part of the measured capacity of all engines.
    double load = 1.0;
    Millis warmup = 90_s;
    Millis duration = 300_s;
    // Every burstEvery the arrival rate is burstFactor times the usual for burstLength.
    Millis burstEvery = 40_s;
    Millis burstLength = 4_s;
    double burstFactor = 2.5;
    // Longest time that a caller accepts until its request starts.
    Millis patience = 30_s;
    std::uint32_t largestOutput = 12000;
    std::vector<Fault> faults;

    [[nodiscard]] std::uint32_t zoneOfEngine(std::size_t engine) const noexcept
    {
        return static_cast<std::uint32_t>(engine % zones);
    }
    [[nodiscard]] std::uint32_t zoneOfEntry(std::size_t entry) const noexcept
    {
        return static_cast<std::uint32_t>(entry % zones);
    }
};

// Leases of motorway service areas: long drafts that must finish.
[[nodiscard]] Scenario waypointScenario();
// Steel stock: quotes that lose their value within seconds.
[[nodiscard]] Scenario ferreiraScenario();
// Adds a zone that is taken out at a third of the measured time and returns at two thirds.
void addZoneOutage(Scenario &scenario);

// Returns the built-in scenario ("waypoint" or "ferreira") or reads an INI file. Unknown sections
// and keys are errors with their line.
[[nodiscard]] Result<Scenario> loadScenario(std::string_view nameOrPath);
[[nodiscard]] Result<Scenario> parseScenario(const std::string &text, const std::string &file);

} // namespace fescue::load
