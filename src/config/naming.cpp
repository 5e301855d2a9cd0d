#include "fescue/config/naming.h"

#include <algorithm>

namespace fescue {

namespace {

bool isAlphanumeric(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isNameByte(char c) noexcept
{
    return isAlphanumeric(c) || c == '-' || c == '_' || c == '.';
}

bool isHexDigit(char c) noexcept
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

} // namespace

bool isValidName(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= maxNameBytes && isAlphanumeric(text.front())
        && std::all_of(text.begin(), text.end(), isNameByte);
}

std::string nameRule(std::string_view text)
{
    return '"' + std::string(text)
        + "\" is not a name; use letters, digits, \"-\", \"_\" and \".\", starting with a letter "
          "or digit, at most "
        + std::to_string(maxNameBytes) + " bytes";
}

bool isHex(std::string_view text, std::size_t minBytes) noexcept
{
    return text.size() % 2 == 0 && text.size() >= 2 * minBytes
        && std::all_of(text.begin(), text.end(), isHexDigit);
}

} // namespace fescue
