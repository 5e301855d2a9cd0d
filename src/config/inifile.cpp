#include "fescue/config/inifile.h"

#include <algorithm>
#include <ini.h>
#include <utility>

namespace fescue {

namespace {

constexpr std::string_view blanks = " \t\r\f\v";

// What inih reads from one line.
struct ParsedLine
{
    std::string section;
    std::string key;
    std::string value;
    bool seen = false;
};

int storeLine(void *user, const char *section, const char *name, const char *value)
{
    ParsedLine &line = *static_cast<ParsedLine *>(user);
    line.section = section;
    line.key = name;
    line.value = value;
    line.seen = true;
    return 1;
}

// Raises the line limit of inih, which is one variable for the whole process.
void raiseLineLimit()
{
    static const bool done = [] {
        ini_max_line = static_cast<int>(maxIniLine) + 96;
        return true;
    }();
    static_cast<void>(done);
}

bool isControl(char c) noexcept
{
    return (static_cast<unsigned char>(c) < ' ' && c != '\t' && c != '\r') || c == 0x7f;
}

std::vector<std::string> splitWords(std::string_view text)
{
    std::vector<std::string> words;
    while (true) {
        const std::size_t begin = text.find_first_not_of(blanks);
        if (begin == std::string_view::npos)
            return words;
        text.remove_prefix(begin);
        const std::size_t end = std::min(text.find_first_of(blanks), text.size());
        words.emplace_back(text.substr(0, end));
        text.remove_prefix(end);
    }
}

// Reads a document line by line, so that each error has its place and none hides the next.
class DocumentParser
{
public:
    DocumentParser(std::string file, ErrorList &errors) : m_errors(&errors)
    {
        m_document.file = std::move(file);
    }

    void addLine(std::string_view raw)
    {
        ++m_line;
        const std::size_t indent = raw.find_first_not_of(blanks);
        if (indent == std::string_view::npos)
            return;
        const std::string_view text = raw.substr(indent);
        if (text.front() == ';' || text.front() == '#')
            return;
        m_indent = indent;
        if (!checkBytes(raw))
            return;
        if (text.front() == '[')
            addSection(text);
        else
            addEntry(text);
    }

    [[nodiscard]] IniDocument take() { return std::move(m_document); }

private:
    [[nodiscard]] SourcePosition at(std::size_t offset) const
    {
        return {m_document.file, m_line, static_cast<std::uint32_t>(m_indent + offset + 1)};
    }

    void report(std::size_t offset, std::string message, ResultCode code = ResultCode::ConfigSyntax)
    {
        m_errors->push_back({code, std::move(message), at(offset)});
    }

    bool checkBytes(std::string_view raw)
    {
        if (raw.size() > maxIniLine) {
            report(0, "the line is longer than " + std::to_string(maxIniLine) + " bytes");
            return false;
        }
        const auto it = std::find_if(raw.begin(), raw.end(), isControl);
        if (it == raw.end())
            return true;
        const std::size_t column = static_cast<std::size_t>(it - raw.begin());
        report(column - std::min(column, m_indent),
               "the line holds a control character; remove it");
        return false;
    }

    void addSection(std::string_view text)
    {
        m_inSection = true;
        IniSection section {{}, {}, at(0), {}};
        ParsedLine parsed;
        const std::string probe = std::string(text) + "\nkey=\n";
        const std::size_t close = text.find(']');
        if (close == std::string_view::npos || ini_parse_string(probe.c_str(), storeLine, &parsed)
            || !parsed.seen) {
            report(0, "a section starts with [KIND NAME] and needs its closing bracket");
        } else if (close - 1 > maxIniName) {
            report(0, "the section title is longer than " + std::to_string(maxIniName) + " bytes");
        } else if (!isBlankOrComment(text.substr(close + 1))) {
            report(close + 1, "only a comment may follow the section title");
        } else {
            section.arguments = splitWords(parsed.section);
            if (section.arguments.empty())
                report(0, "the section title is empty");
        }
        if (!section.arguments.empty()) {
            section.kind = std::move(section.arguments.front());
            section.arguments.erase(section.arguments.begin());
        }
        m_document.sections.push_back(std::move(section));
    }

    static bool isBlankOrComment(std::string_view rest) noexcept
    {
        const std::size_t begin = rest.find_first_not_of(blanks);
        return begin == std::string_view::npos || rest[begin] == ';';
    }

    void addEntry(std::string_view text)
    {
        ParsedLine parsed;
        const std::string line(text);
        if (ini_parse_string(line.c_str(), storeLine, &parsed) || !parsed.seen
            || parsed.key.empty()) {
            report(0, "expected \"key = value\" or \"[section]\"");
            return;
        }
        const std::size_t separator = text.find_first_of("=:");
        if (text.find_last_not_of(blanks, separator - 1) + 1 > maxIniName) {
            report(0, "the key is longer than " + std::to_string(maxIniName) + " bytes");
            return;
        }
        if (!m_inSection) {
            report(0, "key \"" + parsed.key + "\" stands before the first [section]");
            return;
        }
        const std::size_t value = text.find_first_not_of(blanks, separator + 1);
        const std::size_t offset = value == std::string_view::npos ? separator + 1 : value;
        append({std::move(parsed.key), std::move(parsed.value), at(0), at(offset)});
    }

    void append(IniEntry entry)
    {
        IniSection &section = m_document.sections.back();
        const IniEntry *earlier = section.find(entry.key);
        if (earlier != nullptr) {
            report(0,
                   "key \"" + entry.key + "\" stands twice; the first is in line "
                       + std::to_string(earlier->keyPosition.line),
                   ResultCode::ConfigConflict);
            return;
        }
        section.entries.push_back(std::move(entry));
    }

    IniDocument m_document;
    ErrorList *m_errors;
    std::uint32_t m_line = 0;
    std::size_t m_indent = 0;
    bool m_inSection = false;
};

} // namespace

std::string IniSection::title() const
{
    std::string text = kind;
    for (const std::string &argument : arguments)
        text += ' ' + argument;
    return text;
}

const IniEntry *IniSection::find(std::string_view key) const noexcept
{
    const auto it = std::find_if(entries.begin(), entries.end(),
                                 [key](const IniEntry &entry) { return entry.key == key; });
    return it == entries.end() ? nullptr : &*it;
}

IniDocument parseIni(std::string_view text, std::string fileName, ErrorList &errors)
{
    constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";
    raiseLineLimit();
    DocumentParser parser(std::move(fileName), errors);
    if (text.substr(0, byteOrderMark.size()) == byteOrderMark)
        text.remove_prefix(byteOrderMark.size());
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        parser.addLine(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parser.take();
}

Checked<IniDocument> parseIni(std::string_view text, std::string fileName)
{
    ErrorList errors;
    IniDocument document = parseIni(text, std::move(fileName), errors);
    if (!errors.empty())
        return tl::unexpected<ErrorList>(std::move(errors));
    return document;
}

} // namespace fescue
