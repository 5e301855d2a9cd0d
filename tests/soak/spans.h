#pragma once

#include "fescue/core/clock.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace fescue::soak {

inline constexpr Millis endOfTime {std::numeric_limits<std::int64_t>::max() / 2};

// Spans of time in which something is disturbed.
class Spans
{
public:
    void add(Millis from, Millis to) { m_spans.push_back({from, to}); }

    // True where a span overlaps the time from `from` to `to`.
    [[nodiscard]] bool touch(Millis from, Millis to) const noexcept
    {
        for (const Span &span : m_spans) {
            if (span.from <= to && span.to >= from)
                return true;
        }
        return false;
    }

private:
    struct Span
    {
        Millis from;
        Millis to;
    };

    std::vector<Span> m_spans;
};

// What was disturbed when, for deciding whether a promise was in force.
struct Disturbances
{
    // A process is undisturbed after this long without trouble; the users' StableWindowMs.
    static constexpr Millis stableWindow = 3_s;

    explicit Disturbances(std::size_t entryCount)
        : entries(entryCount), stops(entryCount), storeLinks(entryCount), callerLinks(entryCount)
    { }

    // The driver itself did not run, so that nothing it saw then has a known time.
    Spans driver;
    Spans store;
    // Kills and pauses of each entry process, from the fault until it runs again.
    std::vector<Spans> entries;
    // Orderly ends of each entry process, from the signal until it runs again.
    std::vector<Spans> stops;
    // Each entry's path to the store, and its callers' path to it.
    std::vector<Spans> storeLinks;
    std::vector<Spans> callerLinks;
    // Failures of each endpoint and of the path to it; an orderly end is none.
    std::vector<Spans> endpoints;

    // True where the process, its path to the store and the store were undisturbed until `at` for
    // long enough.
    [[nodiscard]] bool inTouch(std::size_t entry, Millis at) const noexcept
    {
        return runsCalmly(entry, at) && !store.touch(at - stableWindow, at)
            && !storeLinks[entry].touch(at - stableWindow, at);
    }

    // The same without regard to the store.
    [[nodiscard]] bool runsCalmly(std::size_t entry, Millis at) const noexcept
    {
        return onlyPlannedWork(entry, at) && !stops[entry].touch(at - stableWindow, at);
    }

    // True where nothing but orderly ends and changes of settings happened to the process.
    [[nodiscard]] bool onlyPlannedWork(std::size_t entry, Millis at) const noexcept
    {
        return !entries[entry].touch(at - stableWindow, at)
            && !callerLinks[entry].touch(at - stableWindow, at)
            && !driver.touch(at - stableWindow, at);
    }

    [[nodiscard]] bool endpointCalm(std::size_t endpoint, Millis from, Millis to) const noexcept
    {
        return !endpoints[endpoint].touch(from - stableWindow, to);
    }
};

} // namespace fescue::soak
