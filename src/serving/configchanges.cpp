#include "fescue/serving/configcheck.h"

#include <map>
#include <set>
#include <sstream>

namespace fescue::serving {

namespace {

using Lines = std::vector<std::string>;

std::string textOf(Millis value)
{
    return std::to_string(value.count) + " ms";
}

std::string textOf(bool value)
{
    return value ? "yes" : "no";
}

std::string textOf(const std::string &value)
{
    return '"' + value + '"';
}

std::string textOf(RouteKind kind)
{
    return kind == RouteKind::Idempotent ? "may be repeated"
        : kind == RouteKind::Streaming   ? "streams, runs once"
                                         : "runs once";
}

std::string textOf(const std::vector<WeightedService> &services)
{
    std::ostringstream stream;
    for (const WeightedService &choice : services) {
        if (stream.tellp() > 0)
            stream << ", ";
        stream << choice.service.text() << " with weight " << choice.weight;
    }
    return stream.str();
}

template <typename T>
requires std::is_arithmetic_v<T> std::string textOf(T value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

template <typename T>
std::string textOf(const std::optional<T> &value)
{
    return value ? textOf(*value) : "none";
}

// Collects what differs between two versions of one entry.
class EntryChanges
{
public:
    EntryChanges(std::string entry, Lines &lines) : m_entry(std::move(entry)), m_lines(&lines) { }

    template <typename T>
    void compare(const char *what, const T &before, const T &after)
    {
        if (before != after)
            add(std::string(what) + ' ' + textOf(before) + " becomes " + textOf(after));
    }
    void add(const std::string &change) { m_lines->push_back(m_entry + ": " + change); }

private:
    std::string m_entry;
    Lines *m_lines;
};

void compareEntries(const Route &before, const Route &after, EntryChanges &changes)
{
    changes.compare("host", before.host, after.host);
    changes.compare("prefix", before.prefix, after.prefix);
    changes.compare("kind", before.kind, after.kind);
    changes.compare("timeout", before.timeout, after.timeout);
    changes.compare("target", before.targetLatency, after.targetLatency);
    changes.compare("target between events", before.targetEventGap, after.targetEventGap);
    changes.compare("priority", before.priority, after.priority);
    changes.compare("services", before.services, after.services);
    changes.compare("attempts", before.maxAttempts, after.maxAttempts);
    changes.compare("without key", before.anonymous, after.anonymous);
    changes.compare("may be resumed", before.isResumable, after.isResumable);
    changes.compare("shares prompts", before.sharesPrefixes, after.sharesPrefixes);
}

void compareEntries(const ServiceSpec &before, const ServiceSpec &after, EntryChanges &changes)
{
    changes.compare("health path", before.healthPath, after.healthPath);
    changes.compare("connections", before.maxConnections, after.maxConnections);
    changes.compare("cold time", before.coldTime, after.coldTime);
    changes.compare("requests a second while cold", before.coldRequestsPerSecond,
                    after.coldRequestsPerSecond);
    if (before.engine != after.engine)
        changes.add("other properties of its engines");
}

void compareEntries(const AccountSpec &before, const AccountSpec &after, EntryChanges &changes)
{
    changes.compare("priority", before.priority, after.priority);
    const std::set<std::string> old(before.keys.begin(), before.keys.end());
    const std::set<std::string> now(after.keys.begin(), after.keys.end());
    std::size_t added = 0;
    for (const std::string &key : now)
        added += old.contains(key) ? 0 : 1;
    const std::size_t withdrawn = old.size() + added - now.size();
    if (added > 0)
        changes.add("keys added: " + std::to_string(added));
    if (withdrawn > 0)
        changes.add("keys withdrawn: " + std::to_string(withdrawn));
}

std::string nameOf(const Route &route)
{
    return "route " + route.name;
}

std::string nameOf(const ServiceSpec &service)
{
    return "service " + service.name.text();
}

std::string nameOf(const AccountSpec &account)
{
    return "account " + account.name.text();
}

template <typename T>
void compareLists(const std::vector<T> &before, const std::vector<T> &after, Lines &lines)
{
    std::map<std::string, const T *> old;
    for (const T &entry : before)
        old.emplace(nameOf(entry), &entry);
    std::set<std::string> kept;
    for (const T &entry : after) {
        const std::string name = nameOf(entry);
        if (!kept.insert(name).second)
            continue;
        const auto it = old.find(name);
        if (it == old.end()) {
            lines.push_back(name + " is new");
            continue;
        }
        EntryChanges changes(name, lines);
        compareEntries(*it->second, entry, changes);
    }
    for (const std::pair<const std::string, const T *> &entry : old) {
        if (!kept.contains(entry.first))
            lines.push_back(entry.first + " is removed");
    }
}

} // namespace

std::vector<std::string> describeChanges(const ServingConfig &before, const ServingConfig &after)
{
    Lines lines;
    if (after.version <= before.version) {
        lines.push_back("version " + std::to_string(after.version.value)
                        + " will not come into force: version "
                        + std::to_string(before.version.value) + " is");
    }
    compareLists(before.routes, after.routes, lines);
    compareLists(before.services, after.services, lines);
    compareLists(before.accounts, after.accounts, lines);
    EntryChanges accounts("accounts", lines);
    accounts.compare("keys are required", before.requiresKey || !before.accounts.empty(),
                     after.requiresKey || !after.accounts.empty());
    EntryChanges limits("limits", lines);
    limits.compare("bytes of a head", before.limits.maxHeadBytes, after.limits.maxHeadBytes);
    limits.compare("bytes of a body", before.limits.maxBodyBytes, after.limits.maxBodyBytes);
    limits.compare("time to arrive", before.limits.headTimeout, after.limits.headTimeout);
    limits.compare("time between requests", before.limits.idleTimeout, after.limits.idleTimeout);
    return lines;
}

} // namespace fescue::serving
