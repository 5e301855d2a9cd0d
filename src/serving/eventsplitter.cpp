#include "fescue/serving/eventsplitter.h"

#include <algorithm>
#include <charconv>

namespace fescue::serving {

namespace {

constexpr std::string_view idField = "id:";
constexpr std::string_view dataField = "data";
// Largest id of the first event of a whole stream.
constexpr std::uint64_t firstId = 1;

// Returns the end of the first event, which is the position after its empty line, or npos if the
// event is incomplete. Lines end with LF or CRLF.
std::size_t endOfEvent(std::string_view text, std::size_t from) noexcept
{
    std::size_t at = text.find('\n', from);
    while (at != std::string_view::npos) {
        if (text.substr(at + 1).starts_with('\n'))
            return at + 2;
        if (text.substr(at + 1).starts_with("\r\n"))
            return at + 3;
        at = text.find('\n', at + 1);
    }
    return std::string_view::npos;
}

// Returns the number in the first valid id field of an event, or nullopt if there is none.
std::optional<std::uint64_t> readId(std::string_view event) noexcept
{
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const std::from_chars_result result =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (result.ec == std::errc())
            return id;
    }
    return std::nullopt;
}

// Returns true if an event carries data. Comments and retry times do not.
bool hasData(std::string_view event) noexcept
{
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(dataField))
            continue;
        // A field without a colon has an empty value.
        line.remove_prefix(dataField.size());
        if (line.empty() || line.front() == ':' || line.front() == '\r')
            return true;
    }
    return false;
}

} // namespace

bool EventSplitter::feed(std::string_view data)
{
    m_partial += data;
    // An empty line may have begun with the last bytes of the previous chunk.
    std::size_t from = m_scanned > 3 ? m_scanned - 3 : 0;
    std::size_t begin = 0;
    std::size_t end = endOfEvent(m_partial, from);
    while (end != std::string::npos) {
        if (!processEvent(std::string_view(m_partial).substr(begin, end - begin)))
            return false;
        begin = end;
        end = endOfEvent(m_partial, begin);
    }
    m_partial.erase(0, begin);
    m_scanned = m_partial.size();
    return m_partial.size() <= maxEventBytes;
}

bool EventSplitter::processEvent(std::string_view event)
{
    const std::optional<std::uint64_t> id = readId(event);
    if (!id && m_isConsecutive) {
        // Whether data without an id comes twice cannot be known.
        if (hasData(event))
            return false;
        m_ready += event;
        return true;
    }
    if (m_isConsecutive && !m_lastId && *id > firstId)
        return false;
    if (id && m_lastId) {
        if (m_resumed && *id <= *m_lastId)
            return true;
        if ((m_resumed || m_isConsecutive) && *id != *m_lastId + 1)
            return false;
    }
    if (id) {
        m_lastId = id;
        m_resumed = false;
    }
    m_ready += event;
    ++m_events;
    return true;
}

void EventSplitter::beginAfter(std::optional<std::uint64_t> lastId) noexcept
{
    m_lastId = lastId;
    m_resumed = lastId.has_value();
    m_isConsecutive = true;
}

void EventSplitter::resume() noexcept
{
    m_partial.clear();
    m_scanned = 0;
    m_resumed = true;
    m_eventsBefore = m_events;
}

} // namespace fescue::serving
