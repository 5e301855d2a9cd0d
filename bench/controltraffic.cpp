// Measures what the control part of a daemon costs: messages and bytes between daemons, calls of
// the store, processor time, and how long a new configuration takes to be in force everywhere.
// Runs many control parts in this process against a store stand-in that runs beside it.

#include "fescue/config/snapshotjson.h"
#include "fescue/node.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <future>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <vector>

namespace {

using namespace fescue;

struct Options
{
    std::string store;
    int daemons = 20;
    int seconds = 10;
    int publishes = 5;
    // Every daemon watches the store, for comparison.
    bool everyDaemonWatches = false;
};

struct Daemon
{
    explicit Daemon(node::NodeOptions options)
        : timeline(options.member.text()), control(std::move(options), timeline, metrics, {})
    { }

    observe::Timeline timeline;
    observe::Metrics metrics;
    node::NodeControl control;
};

using Daemons = std::vector<std::unique_ptr<Daemon>>;

double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Memory of this process; with many daemons the part of the process itself hardly counts.
long residentKilobytes()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

Snapshot makeSnapshot(std::uint64_t version)
{
    Snapshot snapshot;
    snapshot.version = ConfigVersion {version};
    for (int i = 0; i < 4; ++i) {
        Zone zone;
        zone.name = ZoneName("z" + std::to_string(i));
        zone.region = "r1";
        snapshot.zones.push_back(zone);
    }
    snapshot.streamSecret = std::string(64, 'a');
    return snapshot;
}

Daemons startDaemons(const Options &options, const net::Address &store)
{
    Daemons daemons;
    for (int i = 0; i < options.daemons; ++i) {
        node::NodeOptions node;
        node.member = MemberName("entry-" + std::to_string(i));
        node.zone = ZoneName("z" + std::to_string(i % 4));
        node.vm = VmName("vm-" + std::to_string(i));
        node.incarnation = Incarnation {static_cast<std::uint64_t>(observe::wallMillisNow())};
        node.callerAddress = "127.0.0.1:1";
        node.peerListen = "127.0.0.1:0";
        node.store = store;
        if (options.everyDaemonWatches)
            node.minWatchers = static_cast<std::size_t>(options.daemons);
        daemons.push_back(std::make_unique<Daemon>(std::move(node)));
        if (!daemons.back()->control.start())
            throw std::runtime_error("a daemon cannot listen");
    }
    return daemons;
}

bool allHave(const Daemons &daemons, std::uint64_t version)
{
    return std::all_of(daemons.begin(), daemons.end(), [version](const auto &daemon) {
        return daemon->control.currentView()->snapshot->version.value >= version;
    });
}

void publish(net::WorkerPool &pool, const net::StoreClient &client, std::uint64_t version)
{
    std::promise<void> done;
    pool.spawn(0, [&] {
        static_cast<void>(client.put("config/current", *serializeSnapshot(makeSnapshot(version))));
        done.set_value();
    });
    done.get_future().get();
}

struct Totals
{
    peer::LinkCounters links;
    net::CallCounts calls;
    double processor = 0;
};

Totals totals(const Daemons &daemons)
{
    Totals sum;
    sum.processor = processorSeconds();
    for (const std::unique_ptr<Daemon> &daemon : daemons) {
        const peer::LinkCounters links = daemon->control.links().counters();
        for (std::size_t i = 0; i < peer::messageTypeCount; ++i) {
            sum.links.sent.at(i).messages += links.sent.at(i).messages;
            sum.links.sent.at(i).bytes += links.sent.at(i).bytes;
        }
        const net::CallCounts calls = daemon->control.storeCalls();
        sum.calls.reads += calls.reads;
        sum.calls.writes += calls.writes;
        sum.calls.watches += calls.watches;
    }
    return sum;
}

void printRates(const Totals &before, const Totals &after, const Options &options)
{
    const double n = options.daemons;
    const double seconds = options.seconds;
    std::cout << std::fixed << std::setprecision(3);
    std::cout << "daemons " << options.daemons << "\n";
    for (std::size_t i = 0; i < peer::messageTypeCount; ++i) {
        const double messages =
            static_cast<double>(after.links.sent.at(i).messages - before.links.sent.at(i).messages);
        const double bytes =
            static_cast<double>(after.links.sent.at(i).bytes - before.links.sent.at(i).bytes);
        if (messages > 0)
            std::cout << "  " << peer::messageTypeName(i) << " per daemon and second: messages "
                      << messages / n / seconds << " bytes " << bytes / n / seconds << "\n";
    }
    std::cout << "  store calls per second, all daemons: reads "
              << static_cast<double>(after.calls.reads - before.calls.reads) / seconds << " writes "
              << static_cast<double>(after.calls.writes - before.calls.writes) / seconds
              << " watches "
              << static_cast<double>(after.calls.watches - before.calls.watches) / seconds << "\n";
    std::cout << "  resident per daemon: " << static_cast<double>(residentKilobytes()) / n
              << " KB\n";
    std::cout << "  share of a core per daemon: "
              << (after.processor - before.processor) / seconds / n * 100 << " %\n";
}

int run(const Options &options)
{
    const Result<net::Address> store = net::parseAddress(options.store);
    if (!store) {
        std::cerr << store.error().toString() << '\n';
        return EXIT_FAILURE;
    }
    net::WorkerPool pool(1);
    net::HttpClient http;
    net::CallCounter calls;
    const net::StoreClient client(http, *store, calls);
    publish(pool, client, 1);
    Daemons daemons = startDaemons(options, *store);
    const std::chrono::milliseconds poll(1);
    while (!allHave(daemons, 1))
        std::this_thread::sleep_for(poll);
    std::this_thread::sleep_for(std::chrono::seconds(8));
    const Totals before = totals(daemons);
    std::this_thread::sleep_for(std::chrono::seconds(options.seconds));
    printRates(before, totals(daemons), options);
    for (int i = 0; i < options.publishes; ++i) {
        const std::uint64_t version = static_cast<std::uint64_t>(i) + 2;
        const SteadyClock clock;
        const Millis start = clock.now();
        publish(pool, client, version);
        while (!allHave(daemons, version))
            std::this_thread::sleep_for(poll);
        std::cout << "  in force everywhere after " << (clock.now() - start).count << " ms\n";
    }
    for (const std::unique_ptr<Daemon> &daemon : daemons)
        daemon->control.stop();
    pool.stop();
    pool.join();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    CLI::App app {"Measures the cost of the control part over the number of daemons."};
    app.add_option("--store", options.store, "address of a store stand-in")->required();
    app.add_option("--daemons", options.daemons, "control parts to run");
    app.add_option("--seconds", options.seconds, "length of the measurement");
    app.add_flag("--every-daemon-watches", options.everyDaemonWatches,
                 "for comparison: no daemon relies on others");
    CLI11_PARSE(app, argc, argv);
    return run(options);
}
