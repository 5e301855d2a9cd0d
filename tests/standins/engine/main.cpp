// Stand-in for a model engine.
#include "tests/standins/engine/enginestandin.h"

namespace {

using fescue::Millis;
using fescue::standins::EngineStandInOptions;

// Options as they stand on the command line, in its units.
struct EngineArguments
{
    std::int64_t tokenMs = 20;
    std::int64_t restartMs = 4000;
    std::int64_t reportLagMs = 500;
    std::string fencing = "ignores";
};

void addOptions(CLI::App &app, EngineArguments &arguments, EngineStandInOptions &options)
{
    fescue::emulator::EngineSettings &engine = options.engine;
    app.add_option("--token-ms", arguments.tokenMs, "time between tokens, warm");
    app.add_option("--restart-ms", arguments.restartMs, "time from a crash to the next life");
    app.add_option("--report-lag-ms", arguments.reportLagMs, "age of load reports");
    app.add_option("--fencing", arguments.fencing, "checks or ignores fencing numbers of orders")
        ->check(CLI::IsMember({"checks", "ignores"}));
    app.add_option("--slots", engine.maxBatch, "requests that run at the same time");
    app.add_option("--max-waiting", engine.maxWaiting, "requests that wait before one is refused");
    app.add_option("--memory-tokens", engine.memoryTokens, "memory for prompts and outputs");
    app.add_option("--cold-slots", engine.coldLimit, "requests that it bears when just started");
    app.add_option("--cold-tokens-per-slot", engine.coldTokensPerSlot,
                   "tokens produced until it bears one request more");
    app.add_option("--cold-factor", engine.coldFactor, "how much slower it is when cold");
    app.add_option("--min-output", options.minOutput, "shortest output in tokens");
    app.add_option("--max-output", options.maxOutput, "longest output in tokens");
}

} // namespace

int main(int argc, char **argv)
{
    fescue::standins::StandInOptions common;
    EngineArguments arguments;
    EngineStandInOptions options;
    CLI::App app("Stand-in for a model engine, see docs/PROTOCOLS.md", "fescue-standin-engine");
    common.addTo(app);
    addOptions(app, arguments, options);
    CLI11_PARSE(app, argc, argv);
    options.engine.stepBaseMicros = arguments.tokenMs * 1000;
    options.engine.stepPerSequenceMicros = 0;
    options.engine.restartTime = Millis {arguments.restartMs};
    options.engine.reportLag = Millis {arguments.reportLagMs};
    options.checksFencing = arguments.fencing == "checks";
    fescue::standins::EngineStandIn engine(options);
    return fescue::standins::serve(
        common,
        [&engine](const fescue::net::HttpRequest &request, fescue::net::ResponseWriter &writer) {
            engine.handle(request, writer);
        },
        [&engine] { engine.run(); });
}
