#include "fescue/config/publisher.h"

#include "fescue/config/naming.h"
#include "fescue/config/snapshotcheck.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace fescue {

namespace {

// Names one item of a declaration.
struct ItemId
{
    ItemKind kind;
    std::string name;
    auto operator<=>(const ItemId &) const = default;
};

std::string toString(const SourcePosition &position)
{
    return position.file + ':' + std::to_string(position.line) + ':'
        + std::to_string(position.column);
}

// Merges service files and keeps the section of each item for messages.
class Collector
{
public:
    void add(const ServiceFileText &text)
    {
        const ServiceFile file = parseServiceFile(text.text, text.name, m_errors);
        for (const Declared<ZoneDeclaration> &zone : file.zones)
            add(zone);
        for (const Declared<VmDeclaration> &vm : file.vms)
            add(vm);
        for (const Declared<Service> &service : file.services) {
            if (claim(ItemKind::Service, service.item.name.text(), service.section))
                m_declaration.snapshot.services.push_back(service.item);
        }
        for (const Declared<Endpoint> &endpoint : file.endpoints) {
            if (claim(ItemKind::Endpoint, endpoint.item.name.text(), endpoint.section))
                m_declaration.snapshot.endpoints.push_back(endpoint.item);
        }
        for (const Declared<Account> &account : file.accounts) {
            if (claim(ItemKind::Account, account.item.name.text(), account.section))
                m_declaration.snapshot.accounts.push_back(account.item);
        }
        for (const Declared<SystemDeclaration> &system : file.systems)
            add(system);
        m_calls.insert(m_calls.end(), file.calls.begin(), file.calls.end());
    }

    [[nodiscard]] Checked<Declaration> finish()
    {
        for (const Declared<CallDeclaration> &call : m_calls)
            add(call);
        sortSnapshot(m_declaration.snapshot);
        if (m_sections.find({ItemKind::System, {}}) == m_sections.end())
            m_errors.push_back({ResultCode::ConfigMissing,
                                "no file has the section [system] with its stream-secret"});
        else
            addFaults();
        if (m_errors.empty())
            return std::move(m_declaration);
        sortErrors();
        return tl::unexpected<ErrorList>(std::move(m_errors));
    }

private:
    // Notes the section of an item; false, with an error, where another one declares it already.
    bool claim(ItemKind kind, const std::string &name, const IniSection &section)
    {
        const std::pair<std::map<ItemId, IniSection>::iterator, bool> added =
            m_sections.emplace(ItemId {kind, name}, section);
        if (!added.second)
            m_errors.push_back({ResultCode::ConfigConflict,
                                '[' + section.title() + "] is declared already in "
                                    + toString(added.first->second.position)
                                    + "; remove one of the two",
                                section.position});
        return added.second;
    }

    void add(const Declared<ZoneDeclaration> &zone)
    {
        const ZoneDeclaration &item = zone.item;
        if (!claim(ItemKind::Zone, item.name.text(), zone.section))
            return;
        m_declaration.snapshot.zones.push_back({item.name, item.region, item.out.value_or(false)});
        if (item.out)
            m_declaration.zonesWithState.push_back(item.name);
    }

    void add(const Declared<VmDeclaration> &vm)
    {
        const VmDeclaration &item = vm.item;
        if (!claim(ItemKind::Vm, item.name.text(), vm.section) || !item.out)
            return;
        m_declaration.vmsWithState.push_back(item.name);
        if (*item.out)
            m_declaration.snapshot.vmsOut.push_back({item.name});
    }

    void add(const Declared<SystemDeclaration> &system)
    {
        if (!claim(ItemKind::System, {}, system.section))
            return;
        m_declaration.snapshot.streamSecret = system.item.streamSecret;
        m_declaration.snapshot.directoryTtl = system.item.directoryTtl;
    }

    void add(const Declared<CallDeclaration> &call)
    {
        const std::string name = call.item.service.text() + ' ' + call.item.contract.pathPrefix;
        if (!claim(ItemKind::Call, name, call.section))
            return;
        std::vector<Service> &services = m_declaration.snapshot.services;
        const auto it = std::find_if(services.begin(), services.end(), [&](const Service &service) {
            return service.name == call.item.service;
        });
        if (it == services.end())
            m_errors.push_back({ResultCode::ConfigMissing,
                                "service \"" + call.item.service.text()
                                    + "\" does not exist; declare [service "
                                    + call.item.service.text() + ']',
                                call.section.position});
        else
            it->calls.push_back(call.item.contract);
    }

    [[nodiscard]] SourcePosition positionOf(const Fault &fault) const
    {
        const auto it = m_sections.find(ItemId {fault.kind, fault.name});
        if (it == m_sections.end())
            return {};
        const IniEntry *entry = it->second.find(fault.key);
        return entry == nullptr ? it->second.position : entry->valuePosition;
    }

    // Adds the faults of the whole, but for places that have an error already: a value that could
    // not be read is not checked a second time.
    void addFaults()
    {
        std::set<std::string> reported;
        for (const Error &error : m_errors)
            reported.insert(toString(error.position));
        for (const Fault &fault : checkSnapshot(m_declaration.snapshot)) {
            const SourcePosition position = positionOf(fault);
            if (reported.count(toString(position)) > 0)
                continue;
            const std::string prefix = fault.key.empty() ? "" : '"' + fault.key + "\" ";
            m_errors.push_back({fault.code, prefix + fault.message, position});
        }
    }

    void sortErrors()
    {
        std::stable_sort(m_errors.begin(), m_errors.end(), [](const Error &a, const Error &b) {
            return std::tie(a.position.file, a.position.line, a.position.column)
                < std::tie(b.position.file, b.position.line, b.position.column);
        });
    }

    Declaration m_declaration;
    ErrorList m_errors;
    std::vector<Declared<CallDeclaration>> m_calls;
    std::map<ItemId, IniSection> m_sections;
};

template <typename NameType>
bool contains(const std::vector<NameType> &names, const NameType &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

void advanceVersion(Snapshot &snapshot, const Snapshot &current)
{
    snapshot.version = ConfigVersion {current.version.value + 1};
}

} // namespace

Checked<Declaration> collectDeclaration(std::span<const ServiceFileText> files)
{
    Collector collector;
    for (const ServiceFileText &file : files)
        collector.add(file);
    return collector.finish();
}

Snapshot nextSnapshot(const Declaration &declaration, const Snapshot &current)
{
    Snapshot next = declaration.snapshot;
    for (Zone &zone : next.zones) {
        const Zone *published = current.findZone(zone.name);
        if (published != nullptr && !contains(declaration.zonesWithState, zone.name))
            zone.out = published->out;
    }
    for (const VmOut &vm : current.vmsOut) {
        if (!contains(declaration.vmsWithState, vm.name))
            next.vmsOut.push_back(vm);
    }
    sortSnapshot(next);
    advanceVersion(next, current);
    return next;
}

Result<Snapshot> withZoneState(const Snapshot &current, const ZoneName &zone, ServiceState state)
{
    Snapshot next = current;
    const auto it = std::find_if(next.zones.begin(), next.zones.end(),
                                 [&zone](const Zone &item) { return item.name == zone; });
    if (it == next.zones.end())
        return fail(ResultCode::ConfigMissing,
                    "zone \"" + zone.text() + "\" is not in the published configuration");
    it->out = state == ServiceState::Out;
    advanceVersion(next, current);
    return next;
}

Result<Snapshot> withVmState(const Snapshot &current, const VmName &vm, ServiceState state)
{
    if (!isValidName(vm.text()))
        return fail(ResultCode::ConfigBadValue, nameRule(vm.text()));
    Snapshot next = current;
    std::erase_if(next.vmsOut, [&vm](const VmOut &item) { return item.name == vm; });
    if (state == ServiceState::Out)
        next.vmsOut.push_back({vm});
    sortSnapshot(next);
    advanceVersion(next, current);
    return next;
}

} // namespace fescue
