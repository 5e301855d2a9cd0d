#include "summary.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string_view>
#include <vector>

namespace fescue::load {

namespace {

struct Figure
{
    std::string_view title;
    // JSON pointer into the result of a run.
    std::string_view pointer;
    int digits = 0;
};

constexpr std::array<Figure, 15> figures = {{
    {"preemptions", "/preemptions", 0},
    {"stall ms/1000 tokens", "/stall_ms_per_1000_tokens", 0},
    {"first token p50 ms", "/first_token_ms/p50", 0},
    {"p95", "/first_token_ms/p95", 0},
    {"p99", "/first_token_ms/p99", 0},
    {"gap p50 ms", "/token_gap_ms/p50", 0},
    {"p95", "/token_gap_ms/p95", 0},
    {"p99", "/token_gap_ms/p99", 0},
    {"p99.9", "/token_gap_ms/p999", 0},
    {"goodput tokens/s", "/goodput_tokens_per_s", 0},
    {"refused", "/refused", 0},
    {"late", "/late", 0},
    {"cut", "/cut", 0},
    {"over cold", "/over_cold_limit", 0},
    {"least fair part", "/least_fair_part", 2},
}};

// Runs of one scenario and case with one policy.
struct GroupKey
{
    std::string scenario;
    double load = 0;
    bool outage = false;
    std::string policy;
    auto operator<=>(const GroupKey &) const = default;
};

using Runs = std::vector<nlohmann::json>;
using Groups = std::map<GroupKey, Runs>;

std::vector<double> valuesOf(const Runs &runs, std::string_view pointer)
{
    std::vector<double> values;
    for (const nlohmann::json &run : runs)
        values.push_back(run.at(nlohmann::json::json_pointer(std::string(pointer))).get<double>());
    std::sort(values.begin(), values.end());
    return values;
}

double medianOf(const Runs &runs, std::string_view pointer)
{
    const std::vector<double> values = valuesOf(runs, pointer);
    return values.empty() ? 0 : values[values.size() / 2];
}

std::string caseName(const GroupKey &key)
{
    std::ostringstream out;
    out << key.scenario << " " << std::lround(key.load * 100) << "%"
        << (key.outage ? ", zone out and in" : "");
    return out.str();
}

void writeRow(std::ostringstream &out, const GroupKey &key, const Runs &runs)
{
    out << "| " << caseName(key) << " | " << key.policy << " |";
    for (const Figure &figure : figures) {
        const std::vector<double> values = valuesOf(runs, figure.pointer);
        out << std::fixed << std::setprecision(figure.digits) << ' ' << values[values.size() / 2]
            << " (" << values.front() << "–" << values.back() << ") |";
    }
    out << '\n';
}

struct Target
{
    std::string_view title;
    std::string_view pointer;
    // Our median may be this part of the better baseline's.
    double part = 1;
};

constexpr std::array<Target, 3> targets = {{
    {"preemptions ≤ 1/10", "/preemptions", 0.1},
    {"stall time ≤ 1/5", "/stall_ms_per_1000_tokens", 0.2},
    {"p99 between tokens ≤ 1/2", "/token_gap_ms/p99", 0.5},
}};

std::optional<double> betterBaseline(const Groups &groups, GroupKey key, std::string_view pointer)
{
    std::optional<double> best;
    for (const char *policy : {"least-in-flight", "round-robin"}) {
        key.policy = policy;
        const auto it = groups.find(key);
        if (it == groups.end())
            continue;
        const double value = medianOf(it->second, pointer);
        best = best ? std::min(*best, value) : value;
    }
    return best;
}

void writeTarget(std::ostringstream &out, const GroupKey &key, std::string_view title, double value,
                 std::string_view bound, bool met)
{
    out << "| " << caseName(key) << " | " << key.policy << " | " << title << " | "
        << std::setprecision(2) << value << " | " << bound << " | " << (met ? "met" : "**missed**")
        << " |\n";
}

void writeTargets(std::ostringstream &out, const Groups &groups, const GroupKey &key,
                  const Runs &runs)
{
    for (const Target &target : targets) {
        const std::optional<double> baseline = betterBaseline(groups, key, target.pointer);
        if (!baseline)
            continue;
        const double value = medianOf(runs, target.pointer);
        std::ostringstream bound;
        bound << std::fixed << std::setprecision(2) << *baseline * target.part << " (baseline "
              << *baseline << ")";
        writeTarget(out, key, target.title, value, bound.str(), value <= *baseline * target.part);
    }
    const double overCold = valuesOf(runs, "/over_cold_limit").back();
    writeTarget(out, key, "above the cold limit, all seeds", overCold, "0", overCold == 0);
    const double fair = valuesOf(runs, "/least_fair_part").front();
    writeTarget(out, key, "least fair part, all seeds", fair, "0.80", fair >= 0.8);
    const double broken = valuesOf(runs, "/lost").back() + valuesOf(runs, "/doubled").back();
    writeTarget(out, key, "lost or doubled, all seeds", broken, "0", broken == 0);
    if (!key.outage)
        return;
    const double away = medianOf(runs, "/away_goodput_part");
    writeTarget(out, key, "goodput with a zone out ≥ 95% of bearable", away, "0.95", away >= 0.95);
}

bool isOwnProfile(const GroupKey &key, const Runs &runs)
{
    return runs.front().value("profile", std::string()) == key.policy;
}

Result<Groups> readGroups(std::span<const std::string> paths)
{
    Groups groups;
    for (const std::string &path : paths) {
        std::ifstream in(path);
        const nlohmann::json all = nlohmann::json::parse(in, nullptr, false);
        if (!in || !all.is_array())
            return fail(ResultCode::FileUnreadable, "not a result file of fescue-load experiment",
                        {path, 0, 0});
        for (const nlohmann::json &run : all) {
            const GroupKey key {run.at("scenario"), run.at("load"), run.at("zone_outage"),
                                run.at("policy")};
            groups[key].push_back(run);
        }
    }
    return groups;
}

} // namespace

Result<std::string> summarise(std::span<const std::string> paths)
{
    const Result<Groups> groups = readGroups(paths);
    if (!groups)
        return tl::make_unexpected(groups.error());
    std::ostringstream out;
    out << "Median over the seeds, with the least and the greatest value.\n\n| case | policy |";
    for (const Figure &figure : figures)
        out << ' ' << figure.title << " |";
    out << "\n|---|---|";
    for (std::size_t i = 0; i < figures.size(); ++i)
        out << "---|";
    out << '\n';
    for (const std::pair<const GroupKey, Runs> &group : *groups)
        writeRow(out, group.first, group.second);
    out << "\nTargets, for the policy of each deployment's own profile:\n\n"
           "| case | policy | target | measured | bound | |\n|---|---|---|---|---|---|\n";
    for (const std::pair<const GroupKey, Runs> &group : *groups) {
        if (isOwnProfile(group.first, group.second))
            writeTargets(out, *groups, group.first, group.second);
    }
    return out.str();
}

} // namespace fescue::load
