// What crowds of clients outside the limits cost one process: memory, connections, processor time
// of a request, beside ordinary callers. Prints a row of a table for each kind and size, of one
// kind where it is named; and ordinary calls that were not served to the error output.

#include "tests/clients/clientscripts.h"
#include "tests/clients/processmeter.h"
#include "tests/lifecycle/edgesystem.h"

#include <fstream>
#include <iostream>
#include <unistd.h>

namespace fescue::test {

namespace {

constexpr std::size_t megabyte = std::size_t {1024} * 1024;
constexpr std::size_t memoryMegabytes = 88;
constexpr std::size_t maxDescriptors = 4100;
constexpr std::size_t ordinaryCallers = 2;
constexpr Millis stayTime = 300_ms;

struct Kind
{
    std::string_view name;
    ClientKind kind;
};

constexpr std::array<Kind, 12> kinds {{{"whole bodies", ClientKind::WholeBodies},
                                       {"stopping short", ClientKind::BodiesThatStopShort},
                                       {"chunks over limit", ClientKind::ChunksOverLimit},
                                       {"chunks of a byte", ClientKind::OneByteChunks},
                                       {"many fields", ClientKind::ManyFields},
                                       {"prompt parts", ClientKind::ManyPromptParts},
                                       {"trailers", ClientKind::ManyTrailers},
                                       {"sent ahead", ClientKind::RequestsSentAhead},
                                       {"unread answers", ClientKind::UnreadAnswers},
                                       {"slow heads", ClientKind::SlowHeads},
                                       {"slow bodies", ClientKind::SlowBodies},
                                       {"idle", ClientKind::Idle}}};

// Returns the processor time that a process has used.
Millis processorTime(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string field;
    std::int64_t ticks = 0;
    constexpr int userField = 14;
    constexpr int systemField = 15;
    for (int i = 1; i <= systemField && file >> field; ++i) {
        if (i == userField || i == systemField)
            ticks += std::stoll(field);
    }
    return Millis {ticks * 1000 / sysconf(_SC_CLK_TCK)};
}

// Tells what the callers saw whose calls were not served, and whether the back end ran them.
void reportNotServed(const EdgeSystem &system, std::span<const CallRecord> calls)
{
    for (const CallRecord &call : calls) {
        if (call.end == CallEnd::Answered && call.status == 200)
            continue;
        const std::string_view end = call.end == CallEnd::Answered ? "answered"
            : call.end == CallEnd::Closed                          ? "closed"
            : call.end == CallEnd::TimedOut                        ? "timed out"
                                                                   : "not connected";
        std::cerr << "not served: " << call.id << ' ' << end << ", status " << call.status
                  << ", after " << (call.endedAt - call.sentAt).count << " ms, "
                  << (system.runOf(call.id) ? "run" : "not run") << '\n';
    }
}

void measure(const Kind &kind, Door door, std::size_t clients)
{
    EdgeSystem system("bench-clients", 1,
                      {.memoryMegabytes = memoryMegabytes, .maxDescriptors = maxDescriptors});
    system.setReadAnswerBytes(4 * megabyte);
    system.startAll();
    soak::EntryProcess &process = system.entry(0);
    const net::Address address = door == Door::Ready ? process.ready() : process.front();
    const ProcessMeter meter(process.pid(), process.options().ip);
    const Millis before = processorTime(process.pid());
    CallerCrowd ordinary(process.front(), ordinaryCallers, {});
    {
        ClientCrowd crowd({{address, scriptOf(kind.kind, door)}}, clients);
        crowd.waitUntilSettled();
        sleepThread(stayTime);
    }
    const std::vector<CallRecord> calls = ordinary.stop();
    std::size_t served = 0;
    for (const CallRecord &call : calls)
        served += call.end == CallEnd::Answered && call.status == 200;
    reportNotServed(system, calls);
    const Millis used = processorTime(process.pid()) - before;
    const bool lives = !process.hasEnded();
    std::cout << "| " << kind.name << " | " << nameOf(door) << " | " << clients << " | "
              << (lives ? process.peakResidentBytes() / megabyte : 0) << " | "
              << meter.most().bytes / megabyte << " | " << meter.most().connections << " | "
              << 1000 * used.count / static_cast<std::int64_t>(clients + calls.size()) << " | "
              << served << " of " << calls.size() << " |" << std::endl;
}

} // namespace

} // namespace fescue::test

int main(int argc, char **argv)
{
    using namespace fescue::test;
    const std::string_view only = argc > 1 ? argv[1] : "";
    std::cout << "| kind | address | clients | peak MB | with unread MB | sockets | processor us a"
                 " request | ordinary served |\n|---|---|---|---|---|---|---|---|\n";
    for (const Kind &kind : kinds) {
        if (!only.empty() && kind.name != only)
            continue;
        for (const Door door : {Door::Read, Door::Ready}) {
            for (const std::size_t clients : {16U, 256U, 2000U})
                measure(kind, door, clients);
        }
    }
    return 0;
}
