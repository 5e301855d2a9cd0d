#include "experiment.h"
#include "report.h"
#include "scenario.h"
#include "summary.h"
#include "workload.h"

#include <CLI/CLI.hpp>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace fescue;
using namespace fescue::load;

struct ExperimentOptions
{
    std::string scenario = "waypoint";
    std::vector<std::string> policies = {"finish", "latency", "least-in-flight", "round-robin"};
    std::vector<double> loads;
    std::vector<std::uint64_t> seeds = {1};
    std::vector<std::string> without;
    bool zoneOutage = false;
    std::string jsonPath;
    std::string svgPath;
};

std::map<std::string, bool *> switches(Mechanisms &mechanisms)
{
    return {
        {"credit", &mechanisms.credit},
        {"slow-start", &mechanisms.slowStart},
        {"forecast", &mechanisms.forecast},
        {"affinity", &mechanisms.affinity},
        {"zone-first", &mechanisms.zoneFirst},
        {"fairness", &mechanisms.fairness},
        {"early-refusal", &mechanisms.earlyRefusal},
    };
}

bool writeFile(const std::string &path, const std::string &text)
{
    std::ofstream out(path);
    out << text;
    if (!out)
        std::cerr << "fescue-load: cannot write " << path << '\n';
    return static_cast<bool>(out);
}

int printError(const Error &error)
{
    std::cerr << "fescue-load: " << error.toString() << '\n';
    return 1;
}

Result<std::vector<RunResult>> runAll(const ExperimentOptions &options, Scenario scenario,
                                      const Mechanisms &mechanisms)
{
    const Capacity capacity = measureCapacity(scenario);
    std::cerr << "capacity of one engine: " << capacity.requestsPerSecond << " requests/s, "
              << capacity.tokensPerSecond << " tokens/s\n";
    std::vector<RunResult> runs;
    for (const double load : options.loads) {
        scenario.load = load;
        for (const std::uint64_t seed : options.seeds) {
            const std::vector<Arrival> arrivals = makeWorkload(scenario, capacity, seed);
            for (const std::string &policy : options.policies) {
                Result<Measures> measures =
                    runPolicy(policy, scenario, mechanisms, arrivals, capacity);
                if (!measures)
                    return tl::make_unexpected(measures.error());
                const std::string profile =
                    scenario.profile == Profile::Finish ? "finish" : "latency";
                runs.push_back({scenario.name, policy, profile, options.zoneOutage, load, seed,
                                std::move(*measures)});
            }
        }
    }
    return runs;
}

int runExperiment(ExperimentOptions options)
{
    Result<Scenario> scenario = loadScenario(options.scenario);
    if (!scenario)
        return printError(scenario.error());
    if (options.zoneOutage)
        addZoneOutage(*scenario);
    if (options.loads.empty())
        options.loads.push_back(scenario->load);
    Mechanisms mechanisms;
    for (const std::string &name : options.without)
        *switches(mechanisms).at(name) = false;
    const Result<std::vector<RunResult>> runs = runAll(options, *scenario, mechanisms);
    if (!runs)
        return printError(runs.error());
    std::cout << toTable(*runs);
    nlohmann::json all = nlohmann::json::array();
    for (const RunResult &run : *runs)
        all.push_back(toJson(run));
    bool written = true;
    if (!options.jsonPath.empty())
        written = writeFile(options.jsonPath, all.dump(2) + "\n");
    if (!options.svgPath.empty() && !runs->empty())
        written = writeFile(options.svgPath, toSvg(runs->front())) && written;
    return written ? 0 : 1;
}

int runSummary(const std::vector<std::string> &paths, const std::string &outPath)
{
    const Result<std::string> page = summarise(paths);
    if (!page)
        return printError(page.error());
    if (outPath.empty()) {
        std::cout << *page;
        return 0;
    }
    return writeFile(outPath, *page) ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app {"Load and experiments for fescueworks"};
    app.set_version_flag("--version", std::string("fescue-load ") + FESCUE_VERSION);
    app.require_subcommand(1);
    ExperimentOptions options;
    Mechanisms known;
    std::vector<std::string> names;
    for (const std::pair<const std::string, bool *> &entry : switches(known))
        names.push_back(entry.first);
    CLI::App *experiment = app.add_subcommand(
        "experiment", "Run the admission policies in this process against emulated engines");
    experiment->add_option("--scenario", options.scenario,
                           "waypoint, ferreira or the path of an INI file");
    experiment->add_option("--policy", options.policies, "Policies to run, side by side");
    experiment->add_option("--load", options.loads, "Offered load as a part of capacity");
    experiment->add_option("--seed", options.seeds, "Seeds of the workload");
    experiment->add_option("--without", options.without, "Mechanisms to switch off")
        ->check(CLI::IsMember(names));
    experiment->add_flag("--zone-outage", options.zoneOutage,
                         "Take zone 0 out for the middle third of the measured time");
    experiment->add_option("--json", options.jsonPath, "Write the results to this file");
    experiment->add_option("--svg", options.svgPath, "Write a plot of the first run to this file");
    std::vector<std::string> resultPaths;
    std::string pagePath;
    CLI::App *summary = app.add_subcommand(
        "summary", "Print medians, ranges and targets over result files of experiment --json");
    summary->add_option("results", resultPaths, "Result files")->required();
    summary->add_option("--out", pagePath, "Write the page to this file");
    CLI11_PARSE(app, argc, argv);
    if (summary->parsed())
        return runSummary(resultPaths, pagePath);
    return runExperiment(options);
}
