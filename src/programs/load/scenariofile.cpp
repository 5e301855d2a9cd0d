#include "scenario.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <ini.h>
#include <map>
#include <optional>
#include <sstream>

namespace fescue::load {

namespace {

struct Parser
{
    Scenario scenario;
    std::string file;
    std::optional<Error> error;
    std::istringstream in;
    // Of the line that was read last, from 1; inih calls back before it reads the next one.
    int line = 0;
    bool ownAccounts = false;
};

// Reads a number; returns false where the text is not one or is negative.
template <typename T>
bool readNumber(std::string_view text, T &value)
{
    T read {};
    const std::from_chars_result result =
        std::from_chars(text.data(), text.data() + text.size(), read);
    if (result.ec != std::errc {} || result.ptr != text.data() + text.size() || read < T {})
        return false;
    value = read;
    return true;
}

bool readMillis(std::string_view text, Millis &value)
{
    return readNumber(text, value.count);
}

bool readProfile(std::string_view text, Profile &value)
{
    if (text != "finish" && text != "latency")
        return false;
    value = text == "finish" ? Profile::Finish : Profile::Latency;
    return true;
}

using Setter = std::function<bool(std::string_view)>;
using Setters = std::map<std::string, Setter, std::less<>>;

Setters scenarioSetters(Scenario &s)
{
    return {
        {"name",
         [&s](std::string_view text) {
             s.name = text;
             return true;
         }},
        {"profile", [&s](std::string_view text) { return readProfile(text, s.profile); }},
        {"zones", [&s](std::string_view text) { return readNumber(text, s.zones) && s.zones > 0; }},
        {"engines",
         [&s](std::string_view text) { return readNumber(text, s.engines) && s.engines > 0; }},
        {"entries",
         [&s](std::string_view text) { return readNumber(text, s.entries) && s.entries > 0; }},
        {"load", [&s](std::string_view text) { return readNumber(text, s.load); }},
        {"warmup_ms", [&s](std::string_view text) { return readMillis(text, s.warmup); }},
        {"duration_ms", [&s](std::string_view text) { return readMillis(text, s.duration); }},
        {"burst_every_ms", [&s](std::string_view text) { return readMillis(text, s.burstEvery); }},
        {"burst_length_ms",
         [&s](std::string_view text) { return readMillis(text, s.burstLength); }},
        {"burst_factor", [&s](std::string_view text) { return readNumber(text, s.burstFactor); }},
        {"patience_ms", [&s](std::string_view text) { return readMillis(text, s.patience); }},
        {"largest_output",
         [&s](std::string_view text) { return readNumber(text, s.largestOutput); }},
    };
}

Setters engineSetters(emulator::EngineSettings &e)
{
    return {
        {"slots", [&e](std::string_view text) { return readNumber(text, e.maxBatch); }},
        {"waiting", [&e](std::string_view text) { return readNumber(text, e.maxWaiting); }},
        {"memory_tokens", [&e](std::string_view text) { return readNumber(text, e.memoryTokens); }},
        {"cache_tokens", [&e](std::string_view text) { return readNumber(text, e.cacheTokens); }},
        {"cold_slots", [&e](std::string_view text) { return readNumber(text, e.coldLimit); }},
        {"cold_tokens_per_slot",
         [&e](std::string_view text) { return readNumber(text, e.coldTokensPerSlot); }},
        {"restart_ms", [&e](std::string_view text) { return readMillis(text, e.restartTime); }},
        {"report_lag_ms", [&e](std::string_view text) { return readMillis(text, e.reportLag); }},
    };
}

Setters accountSetters(AccountLoad &a)
{
    return {
        {"share", [&a](std::string_view text) { return readNumber(text, a.share); }},
        {"weight", [&a](std::string_view text) { return readNumber(text, a.weight); }},
        {"median_output", [&a](std::string_view text) { return readNumber(text, a.medianOutput); }},
        {"sigma", [&a](std::string_view text) { return readNumber(text, a.sigma); }},
        {"tail_part", [&a](std::string_view text) { return readNumber(text, a.tailPart); }},
        {"tail_start", [&a](std::string_view text) { return readNumber(text, a.tailStart); }},
        {"prefixes", [&a](std::string_view text) { return readNumber(text, a.prefixes); }},
        {"prefix_blocks", [&a](std::string_view text) { return readNumber(text, a.prefixBlocks); }},
        {"own_prompt_tokens",
         [&a](std::string_view text) { return readNumber(text, a.ownPromptTokens); }},
    };
}

bool readFaultKind(std::string_view text, FaultKind &kind)
{
    static const std::map<std::string, FaultKind, std::less<>> kinds = {
        {"zone-out", FaultKind::ZoneOut},
        {"zone-in", FaultKind::ZoneIn},
        {"cold", FaultKind::Cold},
        {"kill", FaultKind::Kill},
        {"report-delay", FaultKind::ReportDelay},
        {"authority-change", FaultKind::AuthorityChange},
    };
    const auto it = kinds.find(text);
    if (it == kinds.end())
        return false;
    kind = it->second;
    return true;
}

Setters faultSetters(Fault &f)
{
    return {
        {"at_ms", [&f](std::string_view text) { return readMillis(text, f.at); }},
        {"kind", [&f](std::string_view text) { return readFaultKind(text, f.kind); }},
        {"target", [&f](std::string_view text) { return readNumber(text, f.target); }},
        {"delay_ms", [&f](std::string_view text) { return readMillis(text, f.delay); }},
    };
}

AccountLoad &accountNamed(Parser &parser, std::string_view name)
{
    if (!parser.ownAccounts)
        parser.scenario.accounts.clear();
    parser.ownAccounts = true;
    for (AccountLoad &account : parser.scenario.accounts) {
        if (account.name == name)
            return account;
    }
    parser.scenario.accounts.emplace_back().name = name;
    return parser.scenario.accounts.back();
}

void setError(Parser &parser, ResultCode code, std::string message)
{
    if (!parser.error)
        parser.error = Error {
            code, std::move(message), {parser.file, static_cast<std::uint32_t>(parser.line), 0}};
}

// Returns the keys of a section; none where the section is not known.
std::optional<Setters> settersOf(Parser &parser, std::string_view section, std::string_view key)
{
    constexpr std::string_view accountPrefix = "account ";
    if (section == "scenario")
        return scenarioSetters(parser.scenario);
    if (section == "engine")
        return engineSetters(parser.scenario.engine);
    if (section.starts_with(accountPrefix))
        return accountSetters(accountNamed(parser, section.substr(accountPrefix.size())));
    if (section != "fault")
        return std::nullopt;
    // Sections of the same name are not told apart, so each fault starts with its time.
    if (key == "at_ms" || parser.scenario.faults.empty())
        parser.scenario.faults.emplace_back();
    return faultSetters(parser.scenario.faults.back());
}

// Reads the next line for inih; returns null at the end.
char *readLine(char *buf, int size, void *stream)
{
    Parser &parser = *static_cast<Parser *>(stream);
    std::string line;
    if (!std::getline(parser.in, line))
        return nullptr;
    ++parser.line;
    const std::size_t n = line.copy(buf, static_cast<std::size_t>(size) - 1);
    buf[n] = '\0';
    return buf;
}

int handleLine(void *user, const char *section, const char *key, const char *value)
{
    Parser &parser = *static_cast<Parser *>(user);
    const std::string name = std::string(section) + " / " + key;
    const std::optional<Setters> setters = settersOf(parser, section, key);
    if (!setters) {
        setError(parser, ResultCode::ConfigUnknownKey,
                 "unknown section [" + std::string(section)
                     + "]; known are scenario, engine, account NAME and fault");
        return 0;
    }
    const auto setter = setters->find(key);
    if (setter == setters->end()) {
        setError(parser, ResultCode::ConfigUnknownKey, "unknown key " + name);
        return 0;
    }
    if (!setter->second(value)) {
        setError(parser, ResultCode::ConfigBadValue,
                 "value \"" + std::string(value) + "\" does not fit key " + name);
        return 0;
    }
    return 1;
}

} // namespace

Result<Scenario> parseScenario(const std::string &text, const std::string &file)
{
    Parser parser;
    parser.scenario = waypointScenario();
    parser.file = file;
    parser.in.str(text);
    const int line = ini_parse_stream(readLine, &parser, handleLine, &parser);
    if (parser.error)
        return tl::make_unexpected(*parser.error);
    if (line != 0)
        return fail(ResultCode::ConfigSyntax, "expected [section] or key = value",
                    {file, static_cast<std::uint32_t>(line), 0});
    for (const Fault &fault : parser.scenario.faults) {
        const bool isZone = fault.kind == FaultKind::ZoneOut || fault.kind == FaultKind::ZoneIn;
        if (fault.target >= (isZone ? parser.scenario.zones : parser.scenario.engines))
            return fail(ResultCode::ConfigBadValue,
                        "fault target " + std::to_string(fault.target)
                            + " does not exist; zones and engines count from 0",
                        {file, 0, 0});
    }
    return parser.scenario;
}

Result<Scenario> loadScenario(std::string_view nameOrPath)
{
    if (nameOrPath == "waypoint")
        return waypointScenario();
    if (nameOrPath == "ferreira")
        return ferreiraScenario();
    const std::string path(nameOrPath);
    std::ifstream in(path);
    if (!in)
        return fail(ResultCode::FileUnreadable,
                    "cannot read scenario file; built in are waypoint and ferreira", {path, 0, 0});
    std::ostringstream buf;
    buf << in.rdbuf();
    return parseScenario(buf.str(), path);
}

} // namespace fescue::load
