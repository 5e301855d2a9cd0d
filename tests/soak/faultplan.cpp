#include "tests/soak/faultplan.h"

#include <algorithm>
#include <array>
#include <random>

namespace fescue::soak {

namespace {

constexpr std::array<std::string_view, faultKinds> kindNames {
    "entry-killed",
    "entry-stopped",
    "entry-paused",
    "entry-reloads",
    "many-entries-killed",
    "all-entries-killed",
    "store-unavailable",
    "store-reset",
    "store-hangs",
    "store-slow",
    "store-loses-answers",
    "store-drops-history",
    "store-turns-entry-away",
    "entries-lapse",
    "store-link-silent",
    "store-link-one-way",
    "store-link-refuses",
    "store-connections-silenced",
    "caller-link-reset",
    "caller-link-delayed",
    "caller-connections-silenced",
    "endpoint-drains",
    "endpoint-crashes",
    "endpoint-address-reused",
    "endpoint-grey",
    "endpoint-loses-answers",
    "endpoint-truncates",
    "endpoint-sheds",
    "endpoint-garbles",
    "endpoint-link-delayed",
    "endpoint-link-silent",
    "endpoint-connections-reset",
    "endpoint-connections-silenced",
    "config-moves-route",
    "config-changes-key",
    "config-changes-route",
    "config-grows",
    "config-storm",
    "zone-out",
    "endpoint-says-leaving",
    "endpoint-asks-pause",
    "endpoint-endless",
    "store-comes-back-older",
    "odd-entries",
    "entry-address-held",
    "settings-incomplete-at-start",
    "settings-incomplete-at-reload",
    "hangups-around-stop",
    "stop-signalled-twice",
    "many-entries-stopped",
    "stop-beside-store-away",
    "stop-beside-cut-link",
    "stop-beside-leaving-endpoints",
    "stop-beside-large-bodies",
    "pause-in-stop",
    "client-crowd",
};

// Faults begin once the system has served for a moment.
constexpr Millis quietStart = 2_s;
constexpr Millis shortest = 200_ms;
constexpr Millis longest = 5_s;
// Mean time between faults, of the calmest and of the roughest run.
constexpr Millis calmGap = 4_s;
constexpr Millis roughGap = 350_ms;
// The same for the kinds of the later draws.
constexpr Millis secondDrawGap = 5_s;
constexpr std::uint64_t secondDrawSeed = 0x9e3779b97f4a7c15;
constexpr Millis thirdDrawGap = 8_s;
constexpr std::uint64_t thirdDrawSeed = 0xd1b54a32d192ed03;
constexpr Millis fourthDrawGap = 6_s;
constexpr std::uint64_t fourthDrawSeed = 0x8cb92ba72f3d8dd7;
constexpr Millis fifthDrawGap = 2_s;
constexpr std::uint64_t fifthDrawSeed = 0xa0761d6478bd642f;
constexpr Millis sixthDrawGap = 3_s;
constexpr std::uint64_t sixthDrawSeed = 0xe7037ed1a0b428db;

// Draws faults of the kinds from `first` on, `kinds` of them.
std::vector<Fault> draw(std::mt19937_64 &random, double meanGap, std::size_t first,
                        std::size_t kinds, Millis end)
{
    std::uniform_real_distribution<double> part(0, 1);
    std::exponential_distribution<double> gap(1 / meanGap);
    std::vector<Fault> faults;
    Millis at = quietStart;
    while (true) {
        at += Millis {static_cast<std::int64_t>(gap(random)) + 1};
        Fault fault;
        fault.at = at;
        fault.kind = static_cast<FaultKind>(first + random() % kinds);
        const double span = part(random) * part(random);
        fault.lasts = shortest
            + Millis {
                static_cast<std::int64_t>(span * static_cast<double>((longest - shortest).count))};
        fault.target = static_cast<std::uint32_t>(random());
        fault.strength = part(random);
        if (fault.at + fault.lasts >= end)
            return faults;
        faults.push_back(fault);
    }
}

} // namespace

std::string_view toString(FaultKind kind) noexcept
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::vector<Fault> drawFaults(std::uint64_t seed, Millis end, double density)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> part(0, 1);
    const double roughness = part(random);
    const double meanGap = static_cast<double>(calmGap.count)
        - roughness * static_cast<double>((calmGap - roughGap).count);
    std::vector<Fault> faults = draw(random, meanGap / density, 0, firstDrawKinds, end);
    const auto drawMore = [&](std::uint64_t salt, Millis gap, std::size_t first, std::size_t past) {
        std::mt19937_64 source(seed ^ salt);
        const std::vector<Fault> more =
            draw(source, static_cast<double>(gap.count) / density, first, past - first, end);
        faults.insert(faults.end(), more.begin(), more.end());
    };
    drawMore(secondDrawSeed, secondDrawGap, firstDrawKinds, secondDrawKinds);
    drawMore(thirdDrawSeed, thirdDrawGap, secondDrawKinds, thirdDrawKinds);
    drawMore(fourthDrawSeed, fourthDrawGap, thirdDrawKinds, fourthDrawKinds);
    if (seed >= firstSeedOfStops)
        drawMore(fifthDrawSeed, fifthDrawGap, fourthDrawKinds, fifthDrawKinds);
    if (seed >= firstSeedOfCrowds)
        drawMore(sixthDrawSeed, sixthDrawGap, fifthDrawKinds, faultKinds);
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault &a, const Fault &b) { return a.at < b.at; });
    return faults;
}

} // namespace fescue::soak
