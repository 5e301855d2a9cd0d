// A malformed entry below servers/ while two processes serve callers on kept connections.

#include "standins/platform.h"

#include <atomic>
#include <map>
#include <set>

namespace {

using namespace review;

constexpr int callersPerEdge = 8;
constexpr int engineCount = 3;
constexpr double workSeconds = 0.12;
// StableWindowMs of the settings and some more, before the entry is written.
constexpr double calmSeconds = 4;
// Time that the run goes on after the entry was written.
constexpr double seenSeconds = 10;
constexpr double restartDelay = 1;
// Levels of the list that stands in the entry where a text is due.
constexpr std::size_t nestedLists = 10000;
// Lost requests that the rule bears for one machine.
constexpr int allowedLosses = 3;
constexpr std::int64_t engineBorn = 1764000000000;

std::mutex runMutex;
std::set<std::string> requestsRun;
std::atomic<bool> stopped {false};

// A plain engine: works on each request and answers it whole, with its signature.
void serveEngine(Connection &connection, Record &record, const std::string &engine)
{
    while (const std::optional<Message> request = connection.readMessage()) {
        const std::string id = request->header("X-Attempt-Id");
        if (id.empty()) {
            connection.write(answer(400, "X-Not-Executed: 1\r\n", ""));
            continue;
        }
        if (request->header("X-Expected-Instance") != engine) {
            connection.write(answer(421, "X-Not-Executed: 1\r\n", ""));
            continue;
        }
        {
            const std::lock_guard<std::mutex> lock(runMutex);
            requestsRun.insert(id);
        }
        record.line(engine + " runs " + id);
        sleepSeconds(workSeconds);
        connection.write(answer(
            200, "X-Attempt-Id: " + id + "\r\nX-Server-Signature: " + engine + "." + id + "\r\n",
            "done " + id));
    }
}

struct Tally
{
    std::atomic<int> answered {0};
    std::atomic<int> lost {0};
    std::atomic<int> unsent {0};
};

// Sends requests one after the other on one kept connection, and connects again when it ends.
void call(const Edge &edge, int caller, Tally &tally, Record &record)
{
    constexpr std::string_view body = "rent 800";
    int number = 0;
    while (!stopped) {
        const std::optional<int> fd = Connection::open(edge.port());
        if (!fd) {
            ++tally.unsent;
            sleepSeconds(0.2);
            continue;
        }
        Connection connection(*fd);
        connection.setReadTimeout(5);
        for (bool isKept = false; !stopped; isKept = true) {
            const std::string id =
                edge.name() + "-" + std::to_string(caller) + "-" + std::to_string(++number);
            const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
            connection.write(callHead("POST", "/once/2f", id, 2500, length) + std::string(body));
            const std::optional<Message> reply = connection.readMessage();
            if (reply) {
                ++tally.answered;
                if (reply->status() != 200)
                    record.line(id + " is answered with " + std::to_string(reply->status()));
                continue;
            }
            const std::lock_guard<std::mutex> lock(runMutex);
            const bool hasRun = requestsRun.contains(id);
            record.line(id + " ends with its connection, without an answer; "
                        + (hasRun ? "an engine has it" : "no engine has it")
                        + (isKept ? "; the connection was a kept one" : ""));
            if (hasRun && isKept)
                ++tally.lost;
            break;
        }
    }
}

std::string malformedEntry()
{
    std::string list(nestedLists, '[');
    list.append(nestedLists, ']');
    return R"({"Service":)" + list
        + R"(,"Address":"127.0.0.1:9","Zone":"pnw-a","Version":"v1","Slots":6,"State":"ready",)"
        + R"("ColdRemainingMs":0,"Sequence":1})";
}

} // namespace

int main(int, char **argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    const TemporaryFolder folder;
    Store store;
    store.put("op/config", configuration());
    std::vector<std::unique_ptr<Listener>> engines;
    for (int n = 0; n < engineCount; ++n) {
        const std::string name = "i-app-" + std::to_string(n);
        engines.push_back(std::make_unique<Listener>(
            [&record, name](Connection &connection) { serveEngine(connection, record, name); }));
        store.put("servers/" + name,
                  engineEntry("app", engines.back()->address(), "ready", 6, 1, engineBorn + n));
    }
    Edge first(folder.path(), "edge-pnw-a-1", "pnw-a", store.port());
    Edge second(folder.path(), "edge-pnw-b-1", "pnw-b", store.port());
    const std::vector<Edge *> edges {&first, &second};
    for (Edge *edge : edges) {
        if (!edge->start() || !edge->waitReady(10)) {
            record.line(edge->name() + " does not become ready");
            return 2;
        }
    }
    std::map<const Edge *, Tally> tallies;
    for (const Edge *edge : edges)
        tallies[edge];
    std::vector<std::thread> callers;
    for (const Edge *edge : edges) {
        for (int n = 0; n < callersPerEdge; ++n)
            callers.emplace_back([&, edge, n] { call(*edge, n, tallies[edge], record); });
    }
    sleepSeconds(calmSeconds);
    if (withTrouble()) {
        const std::string value = malformedEntry();
        store.put("servers/i-other-writer", value);
        record.line("another writer has written an entry of " + std::to_string(value.size())
                    + " bytes; its Service is a list");
    } else {
        record.line("no entry is written");
    }
    int ends = 0;
    const double until = now() + seenSeconds;
    std::map<Edge *, double> startsAt;
    while (now() < until) {
        for (Edge *edge : edges) {
            std::string how;
            if (edge->ended(how)) {
                ++ends;
                record.line("the process " + edge->name() + " has ended " + how);
                startsAt[edge] = now() + restartDelay;
            }
            if (!edge->running() && now() >= startsAt[edge]) {
                record.line("the platform starts " + edge->name() + " again");
                static_cast<void>(edge->start());
            }
        }
        sleepSeconds(0.01);
    }
    stopped = true;
    // Callers that wait get their answers before the processes are ended.
    for (std::thread &caller : callers)
        caller.join();
    bool broken = false;
    for (Edge *edge : edges) {
        const Tally &tally = tallies[edge];
        record.line(edge->name() + ": " + std::to_string(tally.answered) + " answered, "
                    + std::to_string(tally.lost)
                    + " passed on to an engine and lost with a kept connection, "
                    + std::to_string(tally.unsent) + " connections refused");
        broken = broken || tally.lost > allowedLosses;
        edge->kill();
    }
    record.line(std::to_string(ends) + " ends of processes that nobody killed");
    record.line(broken ? "LOST is broken" : "LOST holds");
    return broken ? 1 : 0;
}
