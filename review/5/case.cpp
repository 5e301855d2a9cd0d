// An engine that hands out wrong bytes in a few of its answers.

#include "standins/platform.h"

#include <atomic>
#include <map>

namespace {

using namespace review;

constexpr int callerCount = 8;
constexpr int engineCount = 3;
constexpr double workSeconds = 0.03;
constexpr double calmSeconds = 3.5;
constexpr double pauseSeconds = 0.05;
// The engine hands out wrong bytes for this time, twice, with a pause between.
constexpr double faultSeconds = 5.5;
constexpr double betweenSeconds = 4;
// One answer in this number has wrong bytes, at one of the engines.
constexpr int garbledEvery = 50;
constexpr std::int64_t engineBorn = 1764000000000;

std::atomic<bool> stopped {false};
std::atomic<bool> isFaulty {false};
std::atomic<int> garbled {0};

std::string soundAnswer(const std::string &engine, const std::string &id)
{
    return answer(200,
                  "X-Attempt-Id: " + id + "\r\nX-Server-Signature: " + engine + "." + id + "\r\n",
                  "balance of " + id);
}

// Wrong bytes by turns: the line of the signature, or the lines of both headers and the body.
std::string garbledAnswer(const std::string &engine, const std::string &id, int number)
{
    if (number % 2 == 0)
        return answer(
            200, "X-Attempt-Id: " + id + "\r\nX-0erver-Sig0ature: " + engine + "." + id + "\r\n",
            "balance of " + id);
    return answer(200, "X-0ttempt-I0: 0\r\nX-0erver-Sig0ature: 0\r\n", "0a0a0c0 00 0000");
}

void serveEngine(Connection &connection, Record &record, const std::string &engine, bool isFirst,
                 std::atomic<int> &count)
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
        sleepSeconds(workSeconds);
        const bool isGarbled = isFirst && isFaulty && ++count % garbledEvery == 0;
        if (!isGarbled) {
            connection.write(soundAnswer(engine, id));
            continue;
        }
        record.line(engine + " answers " + id + " with wrong bytes");
        connection.write(garbledAnswer(engine, id, ++garbled));
    }
}

struct Tally
{
    std::atomic<int> sound {0};
    std::atomic<int> failed {0};
    std::atomic<int> mixed {0};
};

void call(const Edge &edge, int caller, Tally &tally, Record &record)
{
    constexpr std::string_view body = "rent 800";
    for (int number = 0; !stopped; ++number) {
        sleepSeconds(pauseSeconds);
        const std::optional<int> fd = Connection::open(edge.port());
        if (!fd)
            return;
        Connection connection(*fd);
        connection.setReadTimeout(5);
        const bool isRead = number % 4 == 0;
        const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(number);
        const std::string length = isRead
            ? "Connection: close\r\n"
            : "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        connection.write(
            callHead(isRead ? "GET" : "POST", isRead ? "/read/2f" : "/once/2f", id, 2500, length)
            + std::string(isRead ? std::string_view() : body));
        const std::optional<Message> reply = connection.readMessage();
        const int status = reply ? reply->status() : 0;
        if (status < 200 || status >= 300) {
            ++tally.failed;
            record.line(id + " fails with status " + std::to_string(status));
        } else if (reply->header("X-Server-Signature").empty()
                   || reply->body != "balance of " + id) {
            ++tally.mixed;
            record.line("the client of " + id + " gets " + reply->start + ", signature \""
                        + reply->header("X-Server-Signature") + "\", body \"" + reply->body + "\"");
        } else {
            ++tally.sound;
        }
    }
}

} // namespace

int main(int, char **argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    const TemporaryFolder folder;
    Store store;
    store.put("op/config", configuration());
    std::atomic<int> count {0};
    std::vector<std::unique_ptr<Listener>> engines;
    for (int n = 0; n < engineCount; ++n) {
        const std::string name = "i-app-" + std::to_string(n);
        const bool isFirst = n == 0;
        engines.push_back(
            std::make_unique<Listener>([&record, &count, name, isFirst](Connection &connection) {
                serveEngine(connection, record, name, isFirst, count);
            }));
        store.put("servers/" + name,
                  engineEntry("app", engines.back()->address(), "ready", 6, 1, engineBorn + n));
    }
    Edge edge(folder.path(), "edge-pnw-a-1", "pnw-a", store.port());
    if (!edge.start() || !edge.waitReady(10)) {
        record.line("the process does not become ready");
        return 2;
    }
    sleepSeconds(calmSeconds);
    Tally tally;
    std::vector<std::thread> callers;
    for (int n = 0; n < callerCount; ++n)
        callers.emplace_back([&, n] { call(edge, n, tally, record); });
    for (int spell = 0; spell < 2; ++spell) {
        sleepSeconds(betweenSeconds);
        isFaulty = withTrouble();
        record.line(isFaulty ? "i-app-0 hands out wrong bytes from now on" : "no fault begins");
        sleepSeconds(faultSeconds);
        isFaulty = false;
        record.line("i-app-0 is sound from now on");
    }
    stopped = true;
    for (std::thread &caller : callers)
        caller.join();
    edge.kill();
    record.line(std::to_string(tally.sound) + " requests answered as the engine did, "
                + std::to_string(tally.failed) + " failed, " + std::to_string(garbled)
                + " answers of engines with wrong bytes, " + std::to_string(tally.mixed)
                + " successes without the engine's signature or body");
    record.line(tally.mixed > 0 ? "MIXED is broken" : "MIXED holds");
    return tally.mixed > 0 ? 1 : 0;
}
