#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescue::serving {

// Splits an event stream after whole events without changing a byte, so that a stream that breaks
// off in mid-event can go on from another endpoint. Events have increasing ids.
class EventSplitter
{
public:
    // Longest event; longer ones end the stream as broken.
    static constexpr std::size_t maxEventBytes = std::size_t {256} * 1024;

    // Takes the next piece of the stream. Returns false where an event is too long, or where ids
    // do not follow each other after the stream was resumed.
    [[nodiscard]] bool feed(std::string_view data);
    // Whole events that have not been taken. Valid until the next call.
    [[nodiscard]] std::string_view ready() const noexcept { return m_ready; }
    void clearReady() noexcept { m_ready.clear(); }

    // True where the input ends within an event.
    [[nodiscard]] bool midEvent() const noexcept { return !m_partial.empty(); }
    // The input that follows the last whole event.
    [[nodiscard]] std::string_view partial() const noexcept { return m_partial; }

    // Id of the last whole event; none before the first.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const noexcept { return m_lastId; }
    [[nodiscard]] std::uint64_t events() const noexcept { return m_events; }

    // Forgets a broken event: the stream goes on from another endpoint after lastId(). Events up to
    // that id are dropped when they come again.
    void resume() noexcept;

private:
    [[nodiscard]] bool takeEvent(std::string_view event);

    std::string m_ready;
    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
    // Position in m_partial up to which no end of an event was found.
    std::size_t m_scanned = 0;
    bool m_resumed = false;
};

} // namespace fescue::serving
