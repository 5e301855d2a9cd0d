#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::observe {

// One event of one process. The time is that of the wall clock, so that events of several
// processes can be merged; it is only as good as the synchronisation of their clocks.
struct Event
{
    std::int64_t wallMillis = 0;
    std::string process;
    std::string kind;
    std::string subject;
    std::string detail;
    bool operator==(const Event &) const = default;
};

// The latest events of this process. Older events are overwritten when the capacity is reached.
// All members may be called from any thread.
class Timeline
{
public:
    explicit Timeline(std::string process, std::size_t capacity = 4096);

    // Adds an event that happens now.
    void record(std::string_view kind, std::string_view subject, std::string_view detail = {});

    // Adds an event with its time. The process name of the event is replaced by that of this one.
    void add(Event event);

    // Returns the kept events that are not older than the given wall clock time, oldest first.
    [[nodiscard]] std::vector<Event> events(std::int64_t sinceWallMillis = 0) const;

    // Returns {"process":…,"dropped":…,"events":[…]}; dropped counts the overwritten events. Bytes
    // that are not UTF-8 are replaced.
    [[nodiscard]] std::string toJson(std::int64_t sinceWallMillis = 0) const;

    [[nodiscard]] const std::string &process() const noexcept { return m_process; }

private:
    const std::string m_process;
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::vector<Event> m_ring;
    std::size_t m_next = 0;
    std::uint64_t m_dropped = 0;
};

// Milliseconds of the wall clock since 1970.
[[nodiscard]] std::int64_t wallMillisNow() noexcept;

} // namespace fescue::observe
