#include "fescue/net/sseparser.h"

#include <algorithm>

namespace fescue::net {

bool SseParser::takeLine(std::string_view &data)
{
    if (m_skipLineFeed && !data.empty()) {
        m_skipLineFeed = false;
        if (data.front() == '\n')
            data.remove_prefix(1);
    }
    const std::size_t end = data.find_first_of("\r\n");
    if (end == std::string_view::npos) {
        m_line.append(data);
        data = {};
        return false;
    }
    m_line.append(data.substr(0, end));
    m_skipLineFeed = data[end] == '\r';
    data.remove_prefix(end + 1);
    return true;
}

bool SseParser::processLine()
{
    if (m_line.empty()) {
        m_ready = {m_id, m_event, m_data, false};
        if (!m_hasData)
            endEvent();
        return m_hasData;
    }
    const std::string_view line = m_line;
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view field = line.substr(0, colon);
    std::string_view value = line.substr(std::min(colon + 1, line.size()));
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field.empty()) {
        m_ready = {{}, {}, value, true};
        return true;
    }
    if (field == "data") {
        if (m_hasData)
            m_data += '\n';
        m_data.append(value);
        m_hasData = true;
    } else if (field == "event") {
        m_event = value;
    } else if (field == "id" && value.find('\0') == std::string_view::npos) {
        m_id = value;
    }
    return false;
}

void SseParser::endEvent()
{
    m_data.clear();
    m_event.clear();
    m_hasData = false;
}

Result<void> SseParser::checkSize() const
{
    if (m_line.size() + m_data.size() <= m_maxEventBytes)
        return {};
    return fail(ResultCode::BackEndProtocol,
                "an event is longer than " + std::to_string(m_maxEventBytes) + " bytes");
}

} // namespace fescue::net
