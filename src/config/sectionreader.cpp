#include "fescue/config/sectionreader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <span>
#include <utility>

namespace fescue {

namespace {

struct Unit
{
    std::string_view suffix;
    std::uint64_t factor;
};

constexpr std::array durationUnits = {
    Unit {"ms", 1},
    Unit {"s", 1000},
    Unit {"m", 60'000},
    Unit {"h", 3'600'000},
};

constexpr std::array sizeUnits = {
    Unit {"", 1},
    Unit {"B", 1},
    Unit {"KB", 1024},
    Unit {"MB", 1024ULL * 1024},
    Unit {"GB", 1024ULL * 1024 * 1024},
};

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

// Reads digits and one of the units; false where the text is anything else or too large.
bool readWithUnit(std::string_view text, std::span<const Unit> units, std::uint64_t &value)
{
    const char *end = text.data() + text.size();
    const std::from_chars_result read = std::from_chars(text.data(), end, value);
    if (read.ec != std::errc {})
        return false;
    const std::string_view suffix(read.ptr, static_cast<std::size_t>(end - read.ptr));
    const auto it = std::find_if(units.begin(), units.end(),
                                 [suffix](const Unit &unit) { return unit.suffix == suffix; });
    if (it == units.end())
        return false;
    constexpr std::uint64_t limit = std::numeric_limits<std::int64_t>::max();
    if (value > limit / it->factor)
        return false;
    value *= it->factor;
    return true;
}

// Number of single characters to insert, remove or replace to turn one word into the other.
std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t n = 0; n < row.size(); ++n)
        row[n] = n;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

std::string_view trimmed(std::string_view text) noexcept
{
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

} // namespace

std::string_view closestWord(std::string_view word, const std::vector<std::string> &candidates)
{
    std::string_view best;
    std::size_t bestDistance = std::max<std::size_t>(word.size() / 2, 2) + 1;
    for (const std::string &candidate : candidates) {
        const std::size_t distance = editDistance(word, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            best = candidate;
        }
    }
    return best;
}

std::string suggestion(std::string_view word, const std::vector<std::string> &candidates)
{
    const std::string_view best = closestWord(word, candidates);
    if (!best.empty())
        return "; did you mean " + quoted(best) + '?';
    std::string text = "; known are";
    for (const std::string &candidate : candidates)
        text += (candidate == candidates.front() ? " " : ", ") + candidate;
    return text;
}

Result<Millis> parseDuration(std::string_view text)
{
    std::uint64_t value = 0;
    if (!readWithUnit(text, durationUnits, value))
        return fail(ResultCode::ConfigBadValue,
                    quoted(text)
                        + " is not a duration; write a whole number with ms, s, m or h, "
                          "as in 250ms");
    if (value > static_cast<std::uint64_t>(maxInputSpan.count))
        return fail(ResultCode::ConfigBadValue, quoted(text) + " is longer than any duration");
    return Millis {static_cast<std::int64_t>(value)};
}

Result<std::uint64_t> parseSize(std::string_view text)
{
    std::uint64_t value = 0;
    if (!readWithUnit(text, sizeUnits, value))
        return fail(ResultCode::ConfigBadValue,
                    quoted(text)
                        + " is not a size; write a whole number with B, KB, MB or GB, "
                          "as in 64KB");
    return value;
}

const IniEntry *SectionReader::take(std::string_view key)
{
    if (std::find(m_known.begin(), m_known.end(), key) == m_known.end())
        m_known.emplace_back(key);
    return m_section->find(key);
}

void SectionReader::report(std::string_view key, std::string message, ResultCode code)
{
    const IniEntry *entry = m_section->find(key);
    m_errors->push_back(
        {code, std::move(message), entry != nullptr ? entry->valuePosition : m_section->position});
}

bool SectionReader::require(std::string_view key)
{
    if (take(key) != nullptr)
        return true;
    report(key, "[" + m_section->title() + "] needs the key " + quoted(key),
           ResultCode::ConfigMissing);
    return false;
}

bool SectionReader::readText(std::string_view key, std::string &target)
{
    const IniEntry *entry = take(key);
    if (entry == nullptr)
        return false;
    if (entry->value.empty()) {
        report(key, quoted(key) + " has no value");
        return false;
    }
    target = entry->value;
    return true;
}

bool SectionReader::readBool(std::string_view key, bool &target)
{
    const IniEntry *entry = take(key);
    if (entry == nullptr)
        return false;
    const std::string &value = entry->value;
    const bool yes = value == "yes" || value == "true" || value == "on";
    const bool no = value == "no" || value == "false" || value == "off";
    if (!yes && !no) {
        report(key, quoted(key) + " must be yes or no, not " + quoted(value));
        return false;
    }
    target = yes;
    return true;
}

bool SectionReader::readDuration(std::string_view key, Millis &target, ValueRange<Millis> range)
{
    const IniEntry *entry = take(key);
    if (entry == nullptr)
        return false;
    const Result<Millis> value = parseDuration(entry->value);
    if (!value) {
        report(key, value.error().message);
        return false;
    }
    if (*value < range.min || *value > range.max) {
        report(key,
               quoted(key) + " must be between " + std::to_string(range.min.count) + "ms and "
                   + std::to_string(range.max.count) + "ms");
        return false;
    }
    target = *value;
    return true;
}

bool SectionReader::readSize(std::string_view key, std::uint64_t &target,
                             ValueRange<std::uint64_t> range)
{
    const IniEntry *entry = take(key);
    if (entry == nullptr)
        return false;
    const Result<std::uint64_t> value = parseSize(entry->value);
    if (!value) {
        report(key, value.error().message);
        return false;
    }
    if (*value < range.min || *value > range.max) {
        report(key,
               quoted(key) + " must be between " + std::to_string(range.min) + " and "
                   + std::to_string(range.max) + " bytes");
        return false;
    }
    target = *value;
    return true;
}

bool SectionReader::readUnsigned(std::string_view key, std::uint64_t &target,
                                 ValueRange<std::uint64_t> range)
{
    const IniEntry *entry = take(key);
    if (entry == nullptr)
        return false;
    const std::string &text = entry->value;
    std::uint64_t value = 0;
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = read.ec == std::errc {} && read.ptr == text.data() + text.size();
    if (!whole || value < range.min || value > range.max) {
        report(key,
               quoted(key) + " must be a whole number between " + std::to_string(range.min)
                   + " and " + std::to_string(range.max) + ", not " + quoted(text));
        return false;
    }
    target = value;
    return true;
}

bool SectionReader::readNumber(std::string_view key, double &target, ValueRange<double> range)
{
    const IniEntry *entry = take(key);
    if (entry == nullptr)
        return false;
    const std::string &text = entry->value;
    double value = 0;
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = read.ec == std::errc {} && read.ptr == text.data() + text.size();
    if (!whole || !std::isfinite(value) || value < range.min || value > range.max) {
        report(key,
               quoted(key) + " must be a number between " + std::to_string(range.min) + " and "
                   + std::to_string(range.max) + ", not " + quoted(text));
        return false;
    }
    target = value;
    return true;
}

bool SectionReader::readList(std::string_view key, std::vector<std::string> &target)
{
    const IniEntry *entry = take(key);
    if (entry == nullptr)
        return false;
    std::vector<std::string> words;
    std::string_view rest = entry->value;
    while (true) {
        const std::size_t comma = std::min(rest.find(','), rest.size());
        const std::string_view word = trimmed(rest.substr(0, comma));
        if (word.empty()) {
            report(key, quoted(key) + " has an empty item; write words with commas between them");
            return false;
        }
        words.emplace_back(word);
        if (comma == rest.size())
            break;
        rest.remove_prefix(comma + 1);
    }
    target = std::move(words);
    return true;
}

bool SectionReader::readAddress(std::string_view key, HostPort &target, PortRule rule)
{
    const IniEntry *entry = take(key);
    if (entry == nullptr)
        return false;
    const Result<HostPort> value = parseHostPort(entry->value);
    if (!value) {
        report(key, value.error().message);
        return false;
    }
    if (rule == PortRule::Fixed && value->port == 0) {
        report(key, quoted(key) + " needs a port other than 0");
        return false;
    }
    target = *value;
    return true;
}

bool SectionReader::readAddressList(std::string_view key, std::vector<HostPort> &target)
{
    std::vector<std::string> words;
    if (!readList(key, words))
        return false;
    std::vector<HostPort> addresses;
    for (const std::string &word : words) {
        const Result<HostPort> value = parseHostPort(word);
        if (!value || value->port == 0) {
            report(key,
                   value ? quoted(word) + " needs a port other than 0" : value.error().message);
            return false;
        }
        addresses.push_back(*value);
    }
    target = std::move(addresses);
    return true;
}

void SectionReader::finish()
{
    for (const IniEntry &entry : m_section->entries) {
        if (std::find(m_known.begin(), m_known.end(), entry.key) != m_known.end())
            continue;
        m_errors->push_back({ResultCode::ConfigUnknownKey,
                             "[" + m_section->kind + "] has no key " + quoted(entry.key)
                                 + suggestion(entry.key, m_known),
                             entry.keyPosition});
    }
}

} // namespace fescue
