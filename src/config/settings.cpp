#include "fescue/config/settings.h"

#include "fescue/config/naming.h"
#include "fescue/config/sectionreader.h"

#include <algorithm>
#include <utility>

namespace fescue {

namespace {

const std::vector<std::string> &sectionKinds()
{
    static const std::vector<std::string> kinds = {"daemon", "store", "vmlist", "limits", "log"};
    return kinds;
}

template <typename NameType>
void readName(SectionReader &reader, std::string_view key, NameType &target)
{
    std::string text;
    if (!reader.require(key) || !reader.readText(key, text))
        return;
    if (!isValidName(text))
        reader.report(key, nameRule(text));
    else
        target = NameType(std::move(text));
}

void readDaemon(const IniSection &section, DaemonSettings &settings, ErrorList &errors)
{
    SectionReader reader(section, errors);
    readName(reader, "name", settings.name);
    readName(reader, "zone", settings.zone);
    readName(reader, "vm", settings.vm);
    if (reader.require("listen"))
        reader.readAddress("listen", settings.listen, PortRule::Ephemeral);
    if (reader.require("peer-listen"))
        reader.readAddress("peer-listen", settings.peerListen, PortRule::Ephemeral);
    reader.readAddressList("seed-peers", settings.seedPeers);
    reader.readInteger<std::uint32_t>("workers", settings.workers, {1, 64});
    reader.readDuration("drain-grace", settings.drainGrace, {0_ms, 86400_s});
    reader.finish();
}

void readStore(const IniSection &section, DaemonSettings &settings, ErrorList &errors)
{
    SectionReader reader(section, errors);
    if (reader.require("address"))
        reader.readAddress("address", settings.store);
    reader.readDuration("timeout", settings.storeTimeout, {10_ms, 60_s});
    reader.finish();
}

void readVmList(const IniSection &section, DaemonSettings &settings, ErrorList &errors)
{
    SectionReader reader(section, errors);
    HostPort address;
    if (reader.require("address") && reader.readAddress("address", address))
        settings.vmList = std::move(address);
    reader.finish();
}

void readLimits(const IniSection &section, LimitSettings &limits, ErrorList &errors)
{
    constexpr std::uint64_t megabyte = 1024ULL * 1024;
    SectionReader reader(section, errors);
    reader.readSize("max-head", limits.maxHeadBytes, {1024, megabyte});
    reader.readSize("max-body", limits.maxBodyBytes, {1024, 64 * megabyte});
    reader.readInteger<std::uint32_t>("max-connections", limits.maxConnections, {1, 1'000'000});
    reader.readDuration("idle-timeout", limits.idleTimeout, {100_ms, 3600_s});
    reader.readDuration("caller-write-timeout", limits.callerWriteTimeout, {100_ms, 3600_s});
    reader.finish();
}

void readLog(const IniSection &section, DaemonSettings &settings, ErrorList &errors)
{
    const std::vector<std::string> levels = {"debug", "info", "warning", "error", "off"};
    SectionReader reader(section, errors);
    std::string level;
    if (reader.readText("level", level)) {
        if (std::find(levels.begin(), levels.end(), level) == levels.end())
            reader.report("level",
                          "unknown log level \"" + level + '"' + suggestion(level, levels));
        else
            settings.logLevel = std::move(level);
    }
    reader.finish();
}

void readSection(const IniSection &section, DaemonSettings &settings, ErrorList &errors)
{
    if (section.kind.empty())
        return;
    if (!section.arguments.empty())
        errors.push_back({ResultCode::ConfigSyntax,
                          "[" + section.kind + "] takes no name in a settings file",
                          section.position});
    if (section.kind == "daemon")
        readDaemon(section, settings, errors);
    else if (section.kind == "store")
        readStore(section, settings, errors);
    else if (section.kind == "vmlist")
        readVmList(section, settings, errors);
    else if (section.kind == "limits")
        readLimits(section, settings.limits, errors);
    else if (section.kind == "log")
        readLog(section, settings, errors);
    else
        errors.push_back(
            {ResultCode::ConfigUnknownKey,
             "unknown section [" + section.title() + ']' + suggestion(section.kind, sectionKinds()),
             section.position});
}

void checkSectionCounts(const IniDocument &document, ErrorList &errors)
{
    for (const std::string &kind : sectionKinds()) {
        const IniSection *first = nullptr;
        for (const IniSection &section : document.sections) {
            if (section.kind != kind)
                continue;
            if (first != nullptr)
                errors.push_back({ResultCode::ConfigConflict,
                                  "[" + kind + "] stands twice; the first is in line "
                                      + std::to_string(first->position.line),
                                  section.position});
            else
                first = &section;
        }
        const bool required = kind == "daemon" || kind == "store";
        if (required && first == nullptr)
            errors.push_back({ResultCode::ConfigMissing,
                              "the section [" + kind + "] is missing",
                              {document.file, 0, 0}});
    }
}

} // namespace

Checked<DaemonSettings> parseSettings(std::string_view text, std::string fileName)
{
    DaemonSettings settings;
    ErrorList errors;
    const IniDocument document = parseIni(text, std::move(fileName), errors);
    for (const IniSection &section : document.sections)
        readSection(section, settings, errors);
    checkSectionCounts(document, errors);
    if (!errors.empty())
        return tl::unexpected<ErrorList>(std::move(errors));
    return settings;
}

Checked<DaemonSettings> loadSettings(const std::string &path)
{
    const Result<std::string> text = readTextFile(path);
    if (!text)
        return tl::unexpected<ErrorList>(ErrorList {text.error()});
    return parseSettings(*text, path);
}

} // namespace fescue
