#include "fescue/serving/configcheck.h"

#include "fescue/net/bytebudget.h"
#include "fescue/serving/bodymemory.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace fescue::serving {

namespace {

using Findings = std::vector<ConfigFinding>;

std::string routeEntry(const Route &route)
{
    return "route " + route.name;
}

std::string inMillis(Millis span)
{
    return std::to_string(span.count) + " ms";
}

void checkMatching(const Route &route, Findings &findings)
{
    if (route.host.empty())
        findings.push_back({routeEntry(route), "has no host, so no request matches it"});
    if (route.host.find(':') != std::string::npos) {
        findings.push_back({routeEntry(route),
                            "the host has a port, so no request matches it: ports of requests are "
                            "not compared"});
    }
    if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
        findings.push_back({routeEntry(route),
                            "the prefix \"" + route.prefix
                                + "\" does not begin and end with a slash, so no request matches "
                                  "it"});
    }
}

void checkServices(const Route &route, const std::set<ServiceName> &known, Findings &findings)
{
    double sum = 0;
    for (const WeightedService &choice : route.services) {
        if (!known.contains(choice.service)) {
            findings.push_back({routeEntry(route),
                                "its service " + choice.service.text()
                                    + " is not in the configuration, so its requests are refused"});
        }
        if (choice.weight < 0) {
            findings.push_back({routeEntry(route),
                                "the weight of service " + choice.service.text() + " is negative"});
        }
        if (choice.weight == 0 && route.services.size() > 1) {
            findings.push_back({routeEntry(route),
                                "the weight of service " + choice.service.text()
                                    + " is 0, so it gets no requests"});
        }
        sum += choice.weight;
    }
    if (!(sum > 0))
        findings.push_back({routeEntry(route), "the weights of its services are 0 together"});
}

void checkTimes(const Route &route, Findings &findings)
{
    if (route.timeout <= Millis {0})
        findings.push_back({routeEntry(route), "its timeout is 0, so no request can be served"});
    else if (route.timeout < route.targetLatency) {
        findings.push_back({routeEntry(route),
                            "its timeout of " + inMillis(route.timeout) + " is below its target of "
                                + inMillis(route.targetLatency)});
    }
    if (route.maxAttempts == 0)
        findings.push_back({routeEntry(route), "it allows no attempt"});
}

// Reports names that are given to several entries of a kind; the first one is used.
template <typename T, typename NameOf>
void checkNames(const std::vector<T> &entries, const char *kind, NameOf nameOf, Findings &findings)
{
    std::set<std::string> seen;
    for (const T &entry : entries) {
        const std::string name = nameOf(entry);
        if (!seen.insert(name).second)
            findings.push_back({std::string(kind) + ' ' + name, "the name is used twice"});
    }
}

void checkRoutes(const ServingConfig &config, Findings &findings)
{
    std::set<ServiceName> known;
    for (const ServiceSpec &service : config.services)
        known.insert(service.name);
    std::map<std::pair<std::string, std::string>, const Route *> matches;
    for (const Route &route : config.routes) {
        checkMatching(route, findings);
        const auto it = matches.try_emplace({route.host, route.prefix}, &route);
        if (!it.second) {
            findings.push_back({routeEntry(route),
                                "it has the host and prefix of " + routeEntry(*it.first->second)
                                    + ", which is used instead"});
        }
        checkServices(route, known, findings);
        checkTimes(route, findings);
    }
    std::set<ServiceName> used;
    for (const Route &route : config.routes) {
        for (const WeightedService &choice : route.services)
            used.insert(choice.service);
    }
    for (const ServiceSpec &service : config.services) {
        if (!used.contains(service.name))
            findings.push_back({"service " + service.name.text(), "no route leads to it"});
    }
}

void checkAccounts(const ServingConfig &config, Findings &findings)
{
    if (config.requiresKey && config.accounts.empty()) {
        findings.push_back(
            {"accounts", "no account: no key is valid, so only routes without a key answer"});
    }
    std::map<std::string, const AccountSpec *> owners;
    for (const AccountSpec &account : config.accounts) {
        const std::string entry = "account " + account.name.text();
        if (account.keys.empty())
            findings.push_back({entry, "it has no key, so no caller can use it"});
        for (const std::string &key : account.keys) {
            if (key.empty())
                findings.push_back({entry, "one of its keys is empty"});
            const auto it = owners.try_emplace(key, &account);
            if (!it.second) {
                findings.push_back({entry,
                                    "one of its keys belongs to account "
                                        + it.first->second->name.text() + " already"});
            }
        }
    }
}

void checkLimits(const CallerLimits &limits, std::size_t memoryBytes, Findings &findings)
{
    const std::string entry = "limits";
    if (limits.maxHeadBytes == 0)
        findings.push_back({entry, "heads of requests may have no byte"});
    if (limits.headTimeout <= Millis {0})
        findings.push_back({entry, "requests get no time to arrive"});
    if (limits.idleTimeout <= Millis {0})
        findings.push_back({entry, "connections are not kept between requests"});
    if (memoryBytes == 0)
        return;
    const net::ByteBudget budget(bodyMemory(memoryBytes));
    const std::size_t most = budget.levelFor(net::ByteUse::Request, limits.maxBodyBytes);
    if (limits.maxBodyBytes > most) {
        findings.push_back({entry,
                            "a request of " + std::to_string(limits.maxBodyBytes)
                                + " bytes is allowed, but a process has memory for "
                                + std::to_string(most)});
    }
}

} // namespace

std::vector<ConfigFinding> checkConfig(const ServingConfig &config, std::size_t memoryBytes)
{
    Findings findings;
    checkNames(
        config.routes, "route", [](const Route &it) { return it.name; }, findings);
    checkNames(
        config.services, "service", [](const ServiceSpec &it) { return it.name.text(); }, findings);
    checkNames(
        config.accounts, "account", [](const AccountSpec &it) { return it.name.text(); }, findings);
    checkRoutes(config, findings);
    checkAccounts(config, findings);
    checkLimits(config.limits, memoryBytes, findings);
    return findings;
}

} // namespace fescue::serving
