#include "fescue/config/servicefile.h"

#include "fescue/config/naming.h"
#include "fescue/config/sectionreader.h"
#include "fescue/config/words.h"

#include <algorithm>
#include <array>
#include <utility>

namespace fescue {

namespace {

constexpr std::uint32_t maxSlots = 1'000'000;
constexpr std::uint64_t maxMemoryTokens = 1'000'000'000'000;

// Reads the sections of one file.
class ServiceFileReader
{
public:
    ServiceFileReader(ServiceFile &file, ErrorList &errors) noexcept
        : m_file(&file), m_errors(&errors)
    { }

    void read(const IniSection &section)
    {
        const auto it = std::find_if(kinds.begin(), kinds.end(),
                                     [&](const Kind &kind) { return kind.name == section.kind; });
        if (section.kind.empty())
            return;
        if (it == kinds.end()) {
            reportUnknown(section);
            return;
        }
        if (section.arguments.size() != it->arguments) {
            report(section, "write [" + std::string(it->title) + "]");
            return;
        }
        (this->*it->read)(section);
    }

private:
    struct Kind
    {
        std::string_view name;
        std::string_view title;
        std::size_t arguments;
        void (ServiceFileReader::*read)(const IniSection &);
    };
    static const std::array<Kind, 7> kinds;

    void report(const IniSection &section, std::string message,
                ResultCode code = ResultCode::ConfigSyntax)
    {
        m_errors->push_back({code, std::move(message), section.position});
    }

    void reportUnknown(const IniSection &section)
    {
        std::vector<std::string> names;
        names.reserve(kinds.size());
        for (const Kind &kind : kinds)
            names.emplace_back(kind.name);
        report(section,
               "unknown section [" + section.title() + ']' + suggestion(section.kind, names),
               ResultCode::ConfigUnknownKey);
    }

    template <typename NameType>
    NameType nameOf(const IniSection &section)
    {
        const std::string &text = section.arguments.front();
        if (!isValidName(text))
            report(section, nameRule(text), ResultCode::ConfigBadValue);
        return NameType(text);
    }

    template <typename NameType>
    void readReference(SectionReader &reader, std::string_view key, NameType &target)
    {
        std::string text;
        if (reader.require(key) && reader.readText(key, text))
            target = NameType(std::move(text));
    }

    // Reads the word for one of two values.
    template <typename Enum>
    void readChoice(SectionReader &reader, std::string_view key, Enum &target, Enum first,
                    Enum second)
    {
        std::string text;
        if (!reader.readText(key, text))
            return;
        if (text == toWord(first))
            target = first;
        else if (text == toWord(second))
            target = second;
        else
            reader.report(key,
                          '"' + std::string(key) + "\" must be " + std::string(toWord(first))
                              + " or " + std::string(toWord(second)) + ", not \"" + text + '"');
    }

    std::optional<bool> readOut(SectionReader &reader)
    {
        bool out = false;
        return reader.readBool("out", out) ? std::optional<bool>(out) : std::nullopt;
    }

    void readZone(const IniSection &section)
    {
        ZoneDeclaration zone {nameOf<ZoneName>(section), {}, {}};
        SectionReader reader(section, *m_errors);
        if (reader.require("region"))
            reader.readText("region", zone.region);
        zone.out = readOut(reader);
        reader.finish();
        m_file->zones.push_back({std::move(zone), section});
    }

    void readVm(const IniSection &section)
    {
        VmDeclaration vm {nameOf<VmName>(section), {}};
        SectionReader reader(section, *m_errors);
        vm.out = readOut(reader);
        reader.finish();
        m_file->vms.push_back({std::move(vm), section});
    }

    void readService(const IniSection &section)
    {
        Service service;
        service.name = nameOf<ServiceName>(section);
        SectionReader reader(section, *m_errors);
        reader.require("kind");
        readChoice(reader, "kind", service.kind, ServiceKind::Model, ServiceKind::Plain);
        readChoice(reader, "profile", service.profile, Profile::Finish, Profile::Latency);
        reader.readDuration("first-token-target", service.firstTokenTarget, {1_ms, 3600_s});
        reader.readDuration("token-gap-target", service.tokenGapTarget, {1_ms, 3600_s});
        reader.readDuration("queue-limit", service.queueLimit, {1_ms, 86400_s});
        reader.readInteger<std::uint32_t>("max-output-tokens", service.maxOutputTokens,
                                          {1, 100'000'000});
        reader.finish();
        m_file->services.push_back({std::move(service), section});
    }

    void readCall(const IniSection &section)
    {
        CallDeclaration call {nameOf<ServiceName>(section), {}};
        call.contract.pathPrefix = section.arguments.back();
        SectionReader reader(section, *m_errors);
        if (reader.require("repeatable"))
            reader.readBool("repeatable", call.contract.repeatable);
        reader.readDuration("timeout", call.contract.timeout, {1_ms, 3600_s});
        reader.finish();
        m_file->calls.push_back({std::move(call), section});
    }

    void readEndpoint(const IniSection &section)
    {
        Endpoint endpoint;
        endpoint.name = nameOf<EndpointName>(section);
        SectionReader reader(section, *m_errors);
        readReference(reader, "service", endpoint.service);
        readReference(reader, "zone", endpoint.zone);
        readReference(reader, "vm", endpoint.vm);
        HostPort address;
        if (reader.require("address") && reader.readAddress("address", address))
            endpoint.address = address.toString();
        reader.readInteger<std::uint32_t>("slots", endpoint.slots, {1, maxSlots});
        if (!reader.readInteger<std::uint32_t>("cold-slots", endpoint.coldSlots, {1, maxSlots}))
            endpoint.coldSlots = std::min(endpoint.coldSlots, endpoint.slots);
        reader.readInteger<std::uint64_t>("memory-tokens", endpoint.memoryTokens,
                                          {0, maxMemoryTokens});
        readChoice(reader, "fencing", endpoint.fencing, FencingSupport::Checks,
                   FencingSupport::Ignores);
        reader.finish();
        m_file->endpoints.push_back({std::move(endpoint), section});
    }

    void readAccount(const IniSection &section)
    {
        Account account;
        account.name = nameOf<AccountName>(section);
        SectionReader reader(section, *m_errors);
        if (reader.require("key-hash"))
            reader.readText("key-hash", account.keyHash);
        reader.readNumber("weight", account.weight, {0.001, 1'000'000.0});
        reader.readInteger<std::uint32_t>("max-streams", account.maxStreams, {1, 1'000'000});
        std::vector<std::string> services;
        reader.readList("services", services);
        for (std::string &service : services)
            account.services.emplace_back(std::move(service));
        reader.finish();
        m_file->accounts.push_back({std::move(account), section});
    }

    void readSystem(const IniSection &section)
    {
        SystemDeclaration system;
        SectionReader reader(section, *m_errors);
        if (reader.require("stream-secret"))
            reader.readText("stream-secret", system.streamSecret);
        reader.readDuration("directory-ttl", system.directoryTtl, {1_s, 300_s});
        reader.finish();
        m_file->systems.push_back({std::move(system), section});
    }

    ServiceFile *m_file;
    ErrorList *m_errors;
};

const std::array<ServiceFileReader::Kind, 7> ServiceFileReader::kinds = {{
    {"zone", "zone NAME", 1, &ServiceFileReader::readZone},
    {"vm", "vm NAME", 1, &ServiceFileReader::readVm},
    {"service", "service NAME", 1, &ServiceFileReader::readService},
    {"call", "call SERVICE /path", 2, &ServiceFileReader::readCall},
    {"endpoint", "endpoint NAME", 1, &ServiceFileReader::readEndpoint},
    {"account", "account NAME", 1, &ServiceFileReader::readAccount},
    {"system", "system", 0, &ServiceFileReader::readSystem},
}};

} // namespace

ServiceFile parseServiceFile(std::string_view text, std::string fileName, ErrorList &errors)
{
    ServiceFile file;
    file.name = fileName;
    const IniDocument document = parseIni(text, std::move(fileName), errors);
    ServiceFileReader reader(file, errors);
    for (const IniSection &section : document.sections)
        reader.read(section);
    return file;
}

} // namespace fescue
