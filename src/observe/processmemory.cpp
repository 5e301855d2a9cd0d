#include "fescue/observe/processmemory.h"

#include "fescue/core/parsenumber.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

namespace fescue::observe {

namespace {

constexpr const char *statusFile = "/proc/self/status";

// Returns the number of a line "key: number kB".
std::uint64_t kilobytesOf(std::string_view status, std::string_view key)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t line = status.find(key);
    if (line == std::string_view::npos)
        return 0;
    std::string_view rest = status.substr(line + key.size());
    rest.remove_prefix(std::min(rest.find_first_not_of(blanks), rest.size()));
    return parseNumber<std::uint64_t>(rest.substr(0, rest.find_first_of(" \t\n"))).value_or(0);
}

} // namespace

ProcessMemory parseProcessMemory(std::string_view status)
{
    return {kilobytesOf(status, "\nVmRSS:"), kilobytesOf(status, "\nVmHWM:")};
}

ProcessMemory processMemory()
{
    std::ifstream file(statusFile);
    std::ostringstream text;
    text << file.rdbuf();
    return parseProcessMemory(text.str());
}

} // namespace fescue::observe
