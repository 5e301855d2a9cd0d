#pragma once

#include "fescue/core/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace fescue::net {

// One event, or one comment, of a text/event-stream. The views are valid during the callback.
struct SseEvent
{
    // Last id set by the stream up to this event.
    std::string_view id;
    // Type; empty means "message".
    std::string_view event;
    std::string_view data;
    // True for a comment line; its text is in data.
    bool comment = false;
};

// An incremental parser of server-sent events. The split of the input into pieces has no
// influence on the events.
class SseParser
{
public:
    explicit SseParser(std::size_t maxEventBytes = 256ULL * 1024) noexcept
        : m_maxEventBytes(maxEventBytes)
    { }

    // Takes the next piece of input and calls onEvent(const SseEvent &) for each event that it
    // completes. Fails with BackEndProtocol where a line or event is over the limit; the parser
    // takes no input after that.
    template <typename F>
    [[nodiscard]] Result<void> feed(std::string_view data, F onEvent);

private:
    [[nodiscard]] bool takeLine(std::string_view &data);
    // Returns true where the line completes an event or is a comment, which is then in m_ready.
    [[nodiscard]] bool processLine();
    void endEvent();
    [[nodiscard]] Result<void> checkSize() const;

    std::size_t m_maxEventBytes;
    std::string m_line;
    std::string m_id;
    std::string m_event;
    std::string m_data;
    SseEvent m_ready;
    bool m_hasData = false;
    bool m_skipLineFeed = false;
    bool m_failed = false;
};

} // namespace fescue::net

#include "fescue/net/sseparser.inl"
