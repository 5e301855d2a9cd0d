#pragma once

#include "fescue/config/errorlist.h"

#include <string>
#include <string_view>
#include <vector>

namespace fescue {

// One "key = value" of a section.
struct IniEntry
{
    std::string key;
    std::string value;
    SourcePosition keyPosition;
    SourcePosition valuePosition;
    bool operator==(const IniEntry &) const = default;
};

// One section with its entries. "[call ledger /adjust]" has the kind "call" and the arguments
// "ledger" and "/adjust".
struct IniSection
{
    std::string kind;
    std::vector<std::string> arguments;
    SourcePosition position;
    std::vector<IniEntry> entries;
    bool operator==(const IniSection &) const = default;

    // Returns the kind and the arguments with one space between them.
    [[nodiscard]] std::string title() const;
    [[nodiscard]] const IniEntry *find(std::string_view key) const noexcept;
};

// An INI text with the position of each part. The syntax is that of inih: "key = value", sections
// in brackets, comments after ";" and, at the start of a line, after "#". Lines are limited to
// maxIniLine bytes. There are no continued lines: white space before a key is ignored.
struct IniDocument
{
    std::string file;
    std::vector<IniSection> sections;
    bool operator==(const IniDocument &) const = default;
};

constexpr std::size_t maxIniLine = 4000;
// Longest section title and longest key.
constexpr std::size_t maxIniName = 49;

// Reads a text. Reports each line that is malformed, each key outside a section and each key that
// stands twice in a section.
[[nodiscard]] Checked<IniDocument> parseIni(std::string_view text, std::string fileName);

// The same, but returns the parts that can be read besides adding the errors to a list.
[[nodiscard]] IniDocument parseIni(std::string_view text, std::string fileName, ErrorList &errors);

} // namespace fescue
