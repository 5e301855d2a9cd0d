#include "fescue/config/snapshotcheck.h"

#include "fescue/config/hostport.h"
#include "fescue/config/naming.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace fescue {

namespace {

constexpr Millis maxTarget = 3600_s;
constexpr Millis maxQueueLimit = 86400_s;

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

// Collects the faults of one snapshot.
class SnapshotChecker
{
public:
    explicit SnapshotChecker(const Snapshot &snapshot) noexcept : m_snapshot(&snapshot) { }

    [[nodiscard]] std::vector<Fault> run()
    {
        checkNames<Zone>(ItemKind::Zone, m_snapshot->zones);
        checkNames<VmOut>(ItemKind::Vm, m_snapshot->vmsOut);
        checkNames<Service>(ItemKind::Service, m_snapshot->services);
        checkNames<Endpoint>(ItemKind::Endpoint, m_snapshot->endpoints);
        checkNames<Account>(ItemKind::Account, m_snapshot->accounts);
        for (const Zone &zone : m_snapshot->zones)
            check(zone);
        for (const Service &service : m_snapshot->services)
            check(service);
        for (const Endpoint &endpoint : m_snapshot->endpoints)
            check(endpoint);
        for (const Account &account : m_snapshot->accounts)
            check(account);
        checkSystem();
        return std::move(m_faults);
    }

private:
    void report(std::string_view key, std::string message,
                ResultCode code = ResultCode::ConfigBadValue)
    {
        m_faults.push_back({m_kind, m_name, std::string(key), std::move(message), code});
    }

    void enter(ItemKind kind, std::string name)
    {
        m_kind = kind;
        m_name = std::move(name);
    }

    template <typename Item>
    void checkNames(ItemKind kind, const std::vector<Item> &items)
    {
        for (std::size_t n = 0; n < items.size(); ++n) {
            enter(kind, items[n].name.text());
            if (!isValidName(items[n].name.text()))
                report({}, nameRule(items[n].name.text()));
            if (n == 0 || items[n - 1].name < items[n].name)
                continue;
            const bool twice = items[n - 1].name == items[n].name;
            report({}, twice ? "the name stands twice" : "the names are not sorted",
                   ResultCode::ConfigConflict);
        }
    }

    void check(const Zone &zone)
    {
        enter(ItemKind::Zone, zone.name.text());
        if (!isValidName(zone.region))
            report("region", nameRule(zone.region));
    }

    void checkSpan(std::string_view key, Millis value, Millis max)
    {
        if (value < 1_ms || value > max)
            report(key,
                   "must be between 1ms and " + std::to_string(max.count) + "ms, not "
                       + std::to_string(value.count) + "ms");
    }

    void check(const Service &service)
    {
        enter(ItemKind::Service, service.name.text());
        checkSpan("first-token-target", service.firstTokenTarget, maxTarget);
        checkSpan("token-gap-target", service.tokenGapTarget, maxTarget);
        checkSpan("queue-limit", service.queueLimit, maxQueueLimit);
        if (service.maxOutputTokens == 0)
            report("max-output-tokens", "must be at least 1");
        const std::string *previous = nullptr;
        for (const CallContract &call : service.calls) {
            enter(ItemKind::Call, service.name.text() + ' ' + call.pathPrefix);
            check(call, service);
            if (previous != nullptr && call.pathPrefix <= *previous)
                report({}, "the paths of a service must be unique and sorted",
                       ResultCode::ConfigConflict);
            previous = &call.pathPrefix;
        }
    }

    void check(const CallContract &call, const Service &service)
    {
        const std::string &path = call.pathPrefix;
        const bool printable =
            std::all_of(path.begin(), path.end(), [](char c) { return c > ' ' && c < 0x7f; });
        if (path.empty() || path.front() != '/' || !printable || path.size() > maxPathBytes)
            report({},
                   "the path must start with \"/\" and hold at most " + std::to_string(maxPathBytes)
                       + " printable bytes without spaces");
        if (service.kind != ServiceKind::Plain)
            report({},
                   "calls are declared for plain services; " + quoted(service.name.text())
                       + " is a model");
        checkSpan("timeout", call.timeout, maxTarget);
    }

    void check(const Endpoint &endpoint)
    {
        enter(ItemKind::Endpoint, endpoint.name.text());
        const Service *service = m_snapshot->findService(endpoint.service);
        if (service == nullptr)
            report("service",
                   "service " + quoted(endpoint.service.text())
                       + " does not exist; declare [service " + endpoint.service.text() + "]",
                   ResultCode::ConfigMissing);
        if (m_snapshot->findZone(endpoint.zone) == nullptr)
            report("zone",
                   "zone " + quoted(endpoint.zone.text()) + " does not exist; declare [zone "
                       + endpoint.zone.text() + "]",
                   ResultCode::ConfigMissing);
        if (!isValidName(endpoint.vm.text()))
            report("vm", nameRule(endpoint.vm.text()));
        checkAddress(endpoint);
        checkCapacity(endpoint, service);
    }

    void checkAddress(const Endpoint &endpoint)
    {
        const Result<HostPort> address = parseHostPort(endpoint.address);
        if (!address) {
            report("address", address.error().message);
            return;
        }
        if (address->port == 0)
            report("address", "needs a port other than 0");
        const std::pair<std::map<std::string, std::string>::iterator, bool> added =
            m_addresses.emplace(address->toString(), endpoint.name.text());
        if (!added.second)
            report("address",
                   quoted(endpoint.address) + " is also the address of endpoint "
                       + quoted(added.first->second),
                   ResultCode::ConfigConflict);
    }

    void checkCapacity(const Endpoint &endpoint, const Service *service)
    {
        if (endpoint.slots == 0)
            report("slots", "must be at least 1");
        if (endpoint.coldSlots == 0)
            report("cold-slots", "must be at least 1");
        if (endpoint.coldSlots > endpoint.slots)
            report("cold-slots",
                   std::to_string(endpoint.coldSlots)
                       + " is more than slots = " + std::to_string(endpoint.slots),
                   ResultCode::ConfigConflict);
        if (service == nullptr)
            return;
        const bool model = service->kind == ServiceKind::Model;
        if (model && endpoint.memoryTokens == 0)
            report("memory-tokens", "must be at least 1 for an endpoint of a model");
        if (!model && endpoint.memoryTokens != 0)
            report("memory-tokens",
                   "belongs to endpoints of models; " + quoted(service->name.text())
                       + " is a plain service");
    }

    void check(const Account &account)
    {
        enter(ItemKind::Account, account.name.text());
        if (!isHex(account.keyHash, keyHashBytes) || account.keyHash.size() != 2 * keyHashBytes)
            report("key-hash",
                   "must be 64 lower-case hexadecimal digits, the SHA-256 of the key; "
                   "\"fescuectl hash-key\" prints it");
        else
            checkKeyUnique(account);
        if (!std::isfinite(account.weight) || account.weight <= 0)
            report("weight", "must be greater than 0");
        if (account.maxStreams == 0)
            report("max-streams", "must be at least 1");
        for (const ServiceName &service : account.services) {
            if (m_snapshot->findService(service) == nullptr)
                report("services", "service " + quoted(service.text()) + " does not exist",
                       ResultCode::ConfigMissing);
        }
    }

    void checkKeyUnique(const Account &account)
    {
        const std::pair<std::map<std::string, std::string>::iterator, bool> added =
            m_keyHashes.emplace(account.keyHash, account.name.text());
        if (!added.second)
            report("key-hash", "account " + quoted(added.first->second) + " has the same key",
                   ResultCode::ConfigConflict);
    }

    void checkSystem()
    {
        enter(ItemKind::System, {});
        if (!isHex(m_snapshot->streamSecret, minSecretBytes))
            report("stream-secret",
                   "must be at least " + std::to_string(2 * minSecretBytes)
                       + " lower-case hexadecimal digits, an even number");
        if (m_snapshot->directoryTtl < 1_s || m_snapshot->directoryTtl > 300_s)
            report("directory-ttl", "must be between 1s and 300s");
    }

    const Snapshot *m_snapshot;
    std::vector<Fault> m_faults;
    ItemKind m_kind = ItemKind::System;
    std::string m_name;
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, std::string> m_keyHashes;
};

template <typename Item>
void sortByName(std::vector<Item> &items)
{
    std::stable_sort(items.begin(), items.end(),
                     [](const Item &a, const Item &b) { return a.name < b.name; });
}

} // namespace

std::string_view toString(ItemKind kind) noexcept
{
    switch (kind) {
    case ItemKind::Zone:
        return "zone";
    case ItemKind::Vm:
        return "vm";
    case ItemKind::Service:
        return "service";
    case ItemKind::Call:
        return "call";
    case ItemKind::Endpoint:
        return "endpoint";
    case ItemKind::Account:
        return "account";
    case ItemKind::System:
        return "system";
    }
    return "system";
}

std::string Fault::toString() const
{
    std::string text = '[' + std::string(fescue::toString(kind));
    if (!name.empty())
        text += ' ' + name;
    text += "] ";
    if (!key.empty())
        text += key + ": ";
    return text + message;
}

std::vector<Fault> checkSnapshot(const Snapshot &snapshot)
{
    return SnapshotChecker(snapshot).run();
}

void sortSnapshot(Snapshot &snapshot)
{
    sortByName(snapshot.zones);
    sortByName(snapshot.vmsOut);
    sortByName(snapshot.services);
    sortByName(snapshot.endpoints);
    sortByName(snapshot.accounts);
    for (Service &service : snapshot.services) {
        std::stable_sort(service.calls.begin(), service.calls.end(),
                         [](const CallContract &a, const CallContract &b) {
                             return a.pathPrefix < b.pathPrefix;
                         });
    }
    for (Account &account : snapshot.accounts)
        std::sort(account.services.begin(), account.services.end());
}

} // namespace fescue
