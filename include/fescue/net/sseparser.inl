#pragma once

namespace fescue::net {

template <typename F>
Result<void> SseParser::feed(std::string_view data, F onEvent)
{
    if (m_failed)
        return fail(ResultCode::BackEndProtocol, "the event stream has failed before");
    while (true) {
        const bool lineEnded = takeLine(data);
        if (Result<void> size = checkSize(); !size) {
            m_failed = true;
            return size;
        }
        if (!lineEnded)
            return {};
        const bool ready = processLine();
        if (ready)
            onEvent(static_cast<const SseEvent &>(m_ready));
        if (ready && !m_ready.comment)
            endEvent();
        m_line.clear();
    }
}

} // namespace fescue::net
