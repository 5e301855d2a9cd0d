#include "report.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

namespace fescue::ctl {

namespace {

using nlohmann::json;
using tools::MemberStatus;

void print(std::ostream &stream, const json &value)
{
    stream << value.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
}

json toJson(const Error &error)
{
    return {{"code", static_cast<unsigned>(error.code)},
            {"name", toString(error.code)},
            {"message", error.message},
            {"file", error.position.file},
            {"line", error.position.line},
            {"column", error.position.column}};
}

json toJson(const MemberStatus &status, ConfigVersion wanted)
{
    json value = {{"member", status.name.text()},
                  {"address", status.http.toString()},
                  {"role", status.role},
                  {"in_force", status.hasAtLeast(wanted)}};
    value["version"] = status.version ? json(status.version->value) : json(nullptr);
    if (!status.problem.empty())
        value["problem"] = status.problem;
    return value;
}

json toJson(const std::vector<MemberStatus> &statuses, ConfigVersion wanted)
{
    json list = json::array();
    for (const MemberStatus &status : statuses)
        list.push_back(toJson(status, wanted));
    return list;
}

void printMembers(const std::vector<MemberStatus> &statuses, ConfigVersion wanted)
{
    for (const MemberStatus &status : statuses) {
        std::cout << "  " << status.name.text() << ' ' << status.http.toString() << ' ';
        if (status.version)
            std::cout << "version " << status.version->value
                      << (status.hasAtLeast(wanted) ? "" : ", not yet in force");
        else
            std::cout << "no version: " << status.problem;
        std::cout << '\n';
    }
}

void printLines(const std::vector<std::string> &lines)
{
    for (const std::string &line : lines)
        std::cout << "  " << line << '\n';
}

std::vector<std::string> zonesOut(const Snapshot &snapshot)
{
    std::vector<std::string> names;
    for (const Zone &zone : snapshot.zones) {
        if (zone.out)
            names.push_back(zone.name.text());
    }
    return names;
}

std::vector<std::string> vmsOut(const Snapshot &snapshot)
{
    std::vector<std::string> names;
    for (const VmOut &vm : snapshot.vmsOut)
        names.push_back(vm.name.text());
    return names;
}

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words)
        text += (text.empty() ? "" : ", ") + word;
    return text.empty() ? "none" : text;
}

} // namespace

void reportError(const Options &options, const Error &error)
{
    if (options.json)
        print(std::cerr, {{"error", toJson(error)}});
    else
        std::cerr << "fescuectl: " << error.toString() << '\n';
}

void reportErrors(const Options &options, const ErrorList &errors)
{
    if (!options.json) {
        std::cerr << toString(errors);
        return;
    }
    json list = json::array();
    for (const Error &error : errors)
        list.push_back(toJson(error));
    print(std::cerr, {{"errors", std::move(list)}});
}

void reportDeclaration(const Options &options, const Snapshot &snapshot)
{
    if (options.json) {
        print(std::cout,
              {{"valid", true},
               {"zones", snapshot.zones.size()},
               {"services", snapshot.services.size()},
               {"endpoints", snapshot.endpoints.size()},
               {"accounts", snapshot.accounts.size()}});
        return;
    }
    std::cout << "valid: " << snapshot.zones.size() << " zones, " << snapshot.services.size()
              << " services, " << snapshot.endpoints.size() << " endpoints, "
              << snapshot.accounts.size() << " accounts\n";
}

void reportChanges(const Options &options, ConfigVersion published,
                   const std::vector<std::string> &changes)
{
    if (options.json) {
        print(std::cout, {{"version", published.value}, {"changes", changes}});
        return;
    }
    if (changes.empty())
        std::cout << "no differences from version " << published.value << '\n';
    else
        std::cout << "publishing would change version " << published.value << ":\n";
    printLines(changes);
}

void reportFindings(const Options &options, ConfigVersion version,
                    const std::vector<serving::ConfigFinding> &findings,
                    const std::optional<std::vector<std::string>> &changes)
{
    if (options.json) {
        json list = json::array();
        for (const serving::ConfigFinding &finding : findings)
            list.push_back({{"entry", finding.entry}, {"message", finding.message}});
        json value = {{"version", version.value}, {"findings", std::move(list)}};
        if (changes)
            value["changes"] = *changes;
        print(std::cout, value);
        return;
    }
    for (const serving::ConfigFinding &finding : findings)
        std::cout << options.paths[0] << ": " << finding.entry << ": " << finding.message << '\n';
    if (findings.empty())
        std::cout << options.paths[0] << ": version " << version.value << ", nothing found\n";
    if (!changes)
        return;
    std::cout << (changes->empty() ? "no differences from " : "differences from ")
              << options.against << (changes->empty() ? "\n" : ":\n");
    printLines(*changes);
}

void reportPublished(const Options &options, const tools::Published &published,
                     const std::vector<MemberStatus> &statuses)
{
    if (options.json) {
        print(std::cout,
              {{"version", published.version.value},
               {"current", published.current.value},
               {"changes", published.changes},
               {"members", toJson(statuses, published.version)}});
        return;
    }
    if (published.changes.empty())
        std::cout << "nothing to change: version " << published.version.value << " is as wanted\n";
    else
        std::cout << "published version " << published.version.value << '\n';
    if (published.current > published.version)
        std::cout << "version " << published.current.value << " has followed meanwhile\n";
    printLines(published.changes);
    if (!options.noWait)
        std::cout << "daemons:" << (statuses.empty() ? " none registered" : "") << '\n';
    printMembers(statuses, published.version);
}

void reportPublishFailure(const Options &options, const tools::PublishFailure &failure)
{
    if (options.json) {
        print(std::cerr,
              {{"error", toJson(failure.error)},
               {"current", failure.current.value},
               {"differences", failure.differences}});
        return;
    }
    reportError(options, failure.error);
    if (failure.differences.empty())
        return;
    std::cerr << "publishing this on top of version " << failure.current.value
              << " would change:\n";
    for (const std::string &line : failure.differences)
        std::cerr << "  " << line << '\n';
}

void reportStatus(const Options &options, const Snapshot &snapshot,
                  const std::vector<MemberStatus> &statuses)
{
    if (options.json) {
        print(std::cout,
              {{"version", snapshot.version.value},
               {"zones_out", zonesOut(snapshot)},
               {"vms_out", vmsOut(snapshot)},
               {"members", toJson(statuses, snapshot.version)}});
        return;
    }
    std::cout << "version " << snapshot.version.value << '\n'
              << "zones out: " << joined(zonesOut(snapshot)) << '\n'
              << "vms out: " << joined(vmsOut(snapshot)) << '\n'
              << "daemons: " << statuses.size() << '\n';
    printMembers(statuses, snapshot.version);
}

} // namespace fescue::ctl
