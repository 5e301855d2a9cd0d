#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescue::serving {

// Splits a stream of server-sent events into whole events without changing a byte, so that a stream
// that breaks off within an event can resume on another endpoint. Events have increasing ids.
class EventSplitter
{
public:
    // Maximum size of an event; a larger one is an error of the stream.
    static constexpr std::size_t maxEventBytes = std::size_t {256} * 1024;

    // Parses the next chunk of the stream. Returns false if an event is too large, or if the first
    // new id after a resume does not follow lastId(). After beginAfter() ids must be consecutive,
    // the first event must have id 0 or 1, and data needs an id.
    [[nodiscard]] bool feed(std::string_view data);
    // Begins after an event that was received before, or at the beginning without one. Ids have to
    // be consecutive from then on.
    void beginAfter(std::optional<std::uint64_t> lastId) noexcept;
    // Returns the whole events since the last clearReady(). Valid until the next call.
    [[nodiscard]] std::string_view ready() const noexcept { return m_ready; }
    void clearReady() noexcept { m_ready.clear(); }

    // Returns true if the input so far ends within an event.
    [[nodiscard]] bool midEvent() const noexcept { return !m_partial.empty(); }
    // Returns the input that follows the last whole event.
    [[nodiscard]] std::string_view partial() const noexcept { return m_partial; }

    // Returns the id of the last whole event; nullopt before the first. After beginAfter(),
    // events without data are passed on and not counted.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const noexcept { return m_lastId; }
    [[nodiscard]] std::uint64_t events() const noexcept { return m_events; }
    // Returns the number of whole events since the last resume().
    [[nodiscard]] std::uint64_t eventsOfPart() const noexcept { return m_events - m_eventsBefore; }

    // Discards an incomplete event; the stream resumes on another endpoint after lastId(). Events
    // up to that id are dropped if they are received again.
    void resume() noexcept;

private:
    [[nodiscard]] bool processEvent(std::string_view event);

    std::string m_ready;
    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
    std::uint64_t m_eventsBefore = 0;
    // Position in m_partial up to which no end of an event was found.
    std::size_t m_scanned = 0;
    bool m_resumed = false;
    bool m_isConsecutive = false;
};

} // namespace fescue::serving
