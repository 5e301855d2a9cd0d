#pragma once

#include "fescue/config/hostport.h"
#include "fescue/config/inifile.h"
#include "fescue/core/clock.h"

#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace fescue {

// Smallest and largest value that a setting may have.
template <typename T>
struct ValueRange
{
    T min;
    T max;
};

// Port 0 is allowed only for addresses to listen on.
enum class PortRule : std::uint8_t
{
    Fixed,
    Ephemeral,
};

// Reads the typed values of one section. Each function leaves the target as it is where the key
// is absent, and returns whether it stored a value. Errors go to the list with the position of the
// value. The keys asked for are the keys that the section may have: finish() reports the others.
class SectionReader
{
public:
    // Both the section and the list must outlive this object.
    SectionReader(const IniSection &section, ErrorList &errors) noexcept
        : m_section(&section), m_errors(&errors)
    { }

    bool readText(std::string_view key, std::string &target);
    // yes, no, true, false, on, off.
    bool readBool(std::string_view key, bool &target);
    // A number with a unit: 250ms, 3s, 2m, 1h.
    bool readDuration(std::string_view key, Millis &target, ValueRange<Millis> range);
    // Bytes, or a number with a unit: 64KB, 1MB; 1 KB is 1024 bytes.
    bool readSize(std::string_view key, std::uint64_t &target, ValueRange<std::uint64_t> range);
    bool readNumber(std::string_view key, double &target, ValueRange<double> range);
    // Words between commas.
    bool readList(std::string_view key, std::vector<std::string> &target);
    bool readAddress(std::string_view key, HostPort &target, PortRule rule = PortRule::Fixed);

    // Addresses between commas.
    bool readAddressList(std::string_view key, std::vector<HostPort> &target);

    template <std::unsigned_integral T>
    bool readInteger(std::string_view key, T &target, ValueRange<T> range)
    {
        std::uint64_t value = 0;
        if (!readUnsigned(key, value, {range.min, range.max}))
            return false;
        target = static_cast<T>(value);
        return true;
    }

    // Reports the key as missing where the section does not have it; returns whether it has.
    bool require(std::string_view key);

    // Reports keys that were never asked for, with the closest one that was.
    void finish();

    // Reports an error at the value of a key, or at the section where the key is absent.
    void report(std::string_view key, std::string message,
                ResultCode code = ResultCode::ConfigBadValue);

private:
    [[nodiscard]] const IniEntry *take(std::string_view key);
    bool readUnsigned(std::string_view key, std::uint64_t &target, ValueRange<std::uint64_t> range);

    const IniSection *m_section;
    ErrorList *m_errors;
    std::vector<std::string> m_known;
};

// Returns the candidate with the fewest edits from the word, or nothing where none is similar.
[[nodiscard]] std::string_view closestWord(std::string_view word,
                                           const std::vector<std::string> &candidates);

// Returns ‘; did you mean "WORD"?’, or the list of candidates where none is similar.
[[nodiscard]] std::string suggestion(std::string_view word,
                                     const std::vector<std::string> &candidates);

// Reads a duration such as 250ms.
[[nodiscard]] Result<Millis> parseDuration(std::string_view text);

// Reads a size such as 64KB.
[[nodiscard]] Result<std::uint64_t> parseSize(std::string_view text);

} // namespace fescue
