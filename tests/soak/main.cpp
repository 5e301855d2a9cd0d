#include "tests/soak/callers.h"
#include "tests/soak/injector.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>

namespace {

using namespace fescue;
using namespace fescue::soak;

// Time that the system has for its recovery after the last fault; the users' RecoveryS.
constexpr Millis recoveryTime = 12_s;
// Traffic after that, by which the recovery is judged.
constexpr Millis judgedTime = 3_s;
// Least part of the calls that is served then; the users' rule on recovery.
constexpr double leastServed = 0.25;
// Time for the last calls to end.
constexpr Millis settleTime = 4_s;

struct Outcome
{
    bool passed = false;
    std::string text;
};

Outcome judge(World &world, const Injector &injector, Millis judgedFrom, Millis judgedTo)
{
    Ledger &ledger = world.ledger;
    ledger.judge();
    const double served = ledger.servedShare(judgedFrom, judgedTo);
    if (served < leastServed)
        ledger.violation("RECOVER", "served " + std::to_string(served) + " after the faults");
    const double during = ledger.servedShare(world.beganAt, judgedFrom);
    std::string text = "seed " + std::to_string(world.options.seed) + ": "
        + std::to_string(ledger.calls().size()) + " calls, "
        + std::to_string(injector.applied().size()) + " faults, served " + std::to_string(during)
        + " during them and " + std::to_string(served) + " after, "
        + std::to_string(ledger.violations().size()) + " broken promises\n";
    for (const std::string &violation : ledger.violations())
        text += "  " + violation + '\n';
    return {ledger.violations().empty(), text};
}

void writeReport(const World &world, const Injector &injector, const Outcome &outcome)
{
    std::ofstream file(world.options.folder + "/report.txt");
    file << outcome.text << "began at " << world.beganAt.count << '\n';
    for (const std::string &line : injector.applied())
        file << line << '\n';
    for (const std::string &line : world.ends)
        file << line << '\n';
    for (const std::pair<const std::string, Call> &entry : world.ledger.calls()) {
        const Call &call = entry.second;
        file << call.id << " entry " << call.entry << ' ' << call.prefix << " sent "
             << (call.sentAt - world.beganAt).count << " ended "
             << (call.endedAt - world.beganAt).count << " end " << static_cast<int>(call.end)
             << " status " << call.status << " arrivals " << call.arrivals;
        for (const Run &run : call.runs) {
            file << " run@" << run.endpoint << (run.resumed ? "r " : " ")
                 << (run.begunAt - world.beganAt).count << '-'
                 << (run.endedAt - world.beganAt).count;
        }
        file << '\n';
    }
}

Outcome run(net::WorkerPool &pool, const SoakOptions &options)
{
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    // Lives until the process ends: fibers of its servers refer to it.
    World &world = *new World(pool, options);
    Callers &callers = *new Callers(world, options.seed + 1);
    Injector &injector = *new Injector(world);
    world.start();
    pool.spawn(0, [&world] { world.supervise(); });
    pool.spawn(0, [&world] { world.watchOwnDelays(); });
    pool.spawn(0, [&world] { world.checkReadiness(); });
    if (!options.rollout.empty())
        pool.spawn(0, [&world] { world.rollOut(); });
    if (options.seed % 2 == 0)
        pool.spawn(0, [&world] { world.churn(); });
    callers.run();
    const Millis faultsEnd = world.beganAt + options.duration;
    injector.run(drawFaults(options.seed, options.duration, options.density));
    net::sleepFor(std::max(faultsEnd + recoveryTime - World::now(), 1_ms));
    const Millis judgedFrom = World::now();
    net::sleepFor(judgedTime);
    const Millis judgedTo = World::now();
    net::sleepFor(settleTime);
    world.stopping = true;
    Outcome outcome = judge(world, injector, judgedFrom, judgedTo);
    writeReport(world, injector, outcome);
    // Fibers that have not ended yet still refer to the processes.
    for (const Entry &entry : world.entries)
        entry.process->signal(SIGKILL);
    return outcome;
}

} // namespace

int main(int argc, char **argv)
{
    SoakOptions options;
    options.folder = "out/soak";
    std::int64_t seconds = options.duration.count / 1000;
    CLI::App app {"Runs entry processes under random faults and checks what callers and endpoints "
                  "see. Exits with 1 where a promise was broken."};
    app.add_option("--program", options.program, "path of fescue-edge")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--seed", options.seed, "seed of the faults and of the traffic");
    app.add_option("--seconds", seconds, "time with faults")->check(CLI::Range(1, 3600));
    app.add_option("--entries", options.entries, "entry processes")->check(CLI::Range(1, 200));
    app.add_option("--engines", options.engines, "model engines")->check(CLI::Range(1, 200));
    app.add_option("--density", options.density, "multiple of the usual number of faults")
        ->check(CLI::Range(0.1, 100.0));
    app.add_option("--crashing", options.crashingShare, "share of the prompts that crash engines")
        ->check(CLI::Range(0.0, 1.0));
    app.add_flag("--resumable", options.hasResumable,
                 "also callers of streams that may be resumed");
    app.add_option("--rollout", options.rollout, "roll-out of the engines")
        ->check(CLI::IsMember({"good", "bad", "slow", "later", "load"}));
    app.add_option("--out", options.folder, "folder for settings, logs and the report; emptied");
    CLI11_PARSE(app, argc, argv);
    options.duration = Millis {seconds * 1000};
    std::signal(SIGPIPE, SIG_IGN);
    net::WorkerPool pool(1);
    std::promise<Outcome> done;
    pool.spawn(0, [&] {
        try {
            done.set_value(run(pool, options));
        } catch (const std::exception &e) {
            done.set_value({false, std::string("the soak could not run: ") + e.what() + '\n'});
        }
    });
    const Outcome outcome = done.get_future().get();
    std::cout << outcome.text << std::flush;
    std::_Exit(outcome.passed ? EXIT_SUCCESS : EXIT_FAILURE);
}
