// A planned replacement of a model engine whose answers have neither a length nor chunks.

#include "standins/platform.h"

#include <atomic>
#include <map>
#include <memory>
#include <set>

#include <nlohmann/json.hpp>

namespace {

using namespace review;
using Json = nlohmann::json;

constexpr int streamCount = 6;
// The mean of the sheet for its long generations.
constexpr int eventCount = 233;
constexpr double eventSeconds = 0.035;
constexpr double prefillSeconds = 0.2;
constexpr std::uint64_t tokensPerEvent = 4;
constexpr std::uint64_t promptTokens = 3000;
// Bits per second of an engine's link, and bytes of the memory of one token, as configured.
constexpr double linkBits = 2700e6;
constexpr double bytesPerToken = 18432;
// DrainMs of the settings, and the time that the old engine goes on serving after it: long enough
// for all streams to end there by themselves.
constexpr double drainSeconds = 2;
constexpr double lingerSeconds = 6;
constexpr std::int64_t engineBorn = 1764000000000;

std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

struct Run
{
    int events = 0;
    bool mustStop = false;
    bool stopped = false;
};

// A model engine: generates a stream of events for each request, copies the memory of a run to
// another engine, and goes on with a run whose copy it stores.
class Engine
{
public:
    Engine(std::string name, Record &record)
        : m_name(std::move(name)), m_record(&record),
          m_listener([this](Connection &connection) { serve(connection); })
    { }

    void knows(Engine &other) { m_others[other.address()] = &other; }
    [[nodiscard]] std::string address() const { return m_listener.address(); }
    // True if the engine has stopped the run because it was called to.
    [[nodiscard]] bool hasStopped(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_stopped.contains(id);
    }
    void leaveIn(double seconds) { m_leavesAt = now() + seconds; }
    void stop() { m_listener.stop(); }

private:
    void serve(Connection &connection)
    {
        while (const std::optional<Message> request = connection.readMessage()) {
            const std::string target = request->target();
            if (target == "/report")
                connection.write(answer(200, "Content-Type: application/json\r\n", report()));
            else if (target == "/kv-move")
                connection.write(move(Json::parse(request->body)));
            else if (target.starts_with("/kv-handle/"))
                connection.write(answer(200, "", ""));
            else {
                generate(connection, *request);
                return;
            }
        }
    }

    std::string report()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        Json json = {{"Phase", "combined"},
                     {"Models", Json::array()},
                     {"Busy", false},
                     {"Sequence", 1},
                     {"Queued", 0},
                     {"Active", m_runs.size()},
                     {"KvUsed", m_runs.size() * promptTokens},
                     {"KvTotal", 34631},
                     {"Handles", m_copies.size()}};
        if (m_leavesAt > 0)
            json["leaves_ms"] = static_cast<std::int64_t>((m_leavesAt - now()) * 1000);
        return json.dump();
    }

    // Copies a run's memory; with "Final" the run stops first, and its stream is closed.
    std::string move(const Json &call)
    {
        const std::string id = call.at("Id").get<std::string>();
        const bool isFinal = call.value("Final", false);
        int events = 0;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            const auto it = m_runs.find(id);
            if (it == m_runs.end())
                return answer(404, "", "");
            const std::shared_ptr<Run> run = it->second;
            run->mustStop = isFinal;
            while (isFinal && !run->stopped) {
                lock.unlock();
                sleepSeconds(0.001);
                lock.lock();
            }
            events = run->events;
        }
        // A copy sends only what is new since the last one.
        const std::uint64_t tokens =
            promptTokens + static_cast<std::uint64_t>(events) * tokensPerEvent;
        const std::uint64_t known = std::exchange(m_copied[id], tokens);
        sleepSeconds(static_cast<double>(tokens - known) * bytesPerToken * 8 / linkBits);
        const std::string handle = m_name + "-" + std::to_string(++m_handles);
        Engine &destination = *m_others.at(call.at("To").get<std::string>());
        {
            const std::lock_guard<std::mutex> lock(destination.m_mutex);
            destination.m_copies[handle] = id;
        }
        m_record->line(m_name + " has copied " + id + " to " + destination.m_name
                       + (isFinal ? ", stopped after event " : ", running, after event ")
                       + std::to_string(events));
        return answer(200, "Content-Type: application/json\r\n",
                      Json {{"Handle", handle}, {"Created", events}}.dump());
    }

    void generate(Connection &connection, const Message &request)
    {
        const std::string id = request.header("X-Attempt-Id");
        const std::string from = request.header("Kv-From");
        if (request.header("X-Expected-Instance") != m_name) {
            connection.write(answer(421, "X-Not-Executed: 1\r\n", ""));
            return;
        }
        const std::shared_ptr<Run> run = std::make_shared<Run>();
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto copy = m_copies.find(from.substr(from.find('/') + 1));
            if (id.empty() || (!from.empty() && (copy == m_copies.end() || copy->second != id))) {
                connection.write(answer(503, "X-Not-Executed: 1\r\n", ""));
                return;
            }
            if (!from.empty())
                m_copies.erase(copy);
            m_runs[id] = run;
        }
        const int first = from.empty() ? 0 : std::atoi(request.header("Last-Event-Id").c_str());
        run->events = first;
        if (from.empty())
            sleepSeconds(prefillSeconds);
        m_record->line(m_name + " runs " + id + " from event " + std::to_string(first + 1));
        bool isOpen = connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                                       + "\r\nX-Server-Signature: " + m_name + "." + id
                                       + "\r\nContent-Type: text/event-stream\r\n"
                                         "Connection: close\r\n\r\n");
        while (isOpen && run->events < eventCount) {
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                if (run->mustStop)
                    break;
                isOpen = connection.write(eventText(run->events + 1));
                ++run->events;
            }
            sleepSeconds(eventSeconds);
        }
        connection.shutdown();
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs.erase(id);
        run->stopped = run->mustStop;
        if (run->stopped)
            m_stopped.insert(id);
        m_record->line(m_name + (run->stopped ? " has stopped " : " has ended ") + id
                       + " after event " + std::to_string(run->events)
                       + (isOpen ? "" : "; its connection is closed"));
    }

    std::string m_name;
    Record *m_record;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Run>> m_runs;
    // The runs of which this engine stores a copy, by handle.
    std::map<std::string, std::string> m_copies;
    std::map<std::string, std::uint64_t> m_copied;
    std::set<std::string> m_stopped;
    std::map<std::string, Engine *> m_others;
    std::atomic<int> m_handles {0};
    std::atomic<double> m_leavesAt {0};
    Listener m_listener;
};

enum class StreamEnd
{
    Whole,
    // Ended as complete before its last event.
    CutShort,
    // Ended without its end mark, or with events that are not consecutive.
    Broken,
};

// Removes the chunk framing of a body. Returns true if the last chunk is there.
bool unchunk(const std::string &body, std::string &text)
{
    std::size_t at = 0;
    while (true) {
        const std::size_t lineEnd = body.find("\r\n", at);
        if (lineEnd == std::string::npos)
            return false;
        const std::size_t size = std::stoul(body.substr(at, lineEnd - at), nullptr, 16);
        if (size == 0)
            return true;
        if (lineEnd + 2 + size > body.size())
            return false;
        text += body.substr(lineEnd + 2, size);
        at = lineEnd + 2 + size + 2;
    }
}

StreamEnd readStream(const Edge &edge, const std::string &id, Record &record)
{
    const std::optional<int> fd = Connection::open(edge.port());
    if (!fd)
        return StreamEnd::Broken;
    Connection connection(*fd);
    connection.setReadTimeout(5);
    const std::string head =
        callHead("POST", "/stream/2f", id, 39000,
                 "X-Model-Id: m\r\nX-Token-Usage: 3000,932\r\nX-Length-Hint: 932\r\n"
                 "X-Prefix-Hash: 5c1e07a2:48,91bd3f06:32,"
                     + id + ":2920\r\nContent-Length: 5\r\n");
    connection.write(head + "draft");
    const std::optional<Message> reply = connection.readHead();
    if (!reply || reply->status() != 200) {
        record.line(id + " is answered with " + std::to_string(reply ? reply->status() : 0));
        return StreamEnd::Broken;
    }
    std::string body;
    std::string text;
    bool isComplete = false;
    while (!isComplete) {
        const std::string more = connection.readSome();
        if (more.empty())
            break;
        body += more;
        text.clear();
        isComplete = unchunk(body, text);
    }
    std::string expected;
    int events = 0;
    while (events < eventCount && text.starts_with(expected + eventText(events + 1)))
        expected += eventText(++events);
    record.line("the caller of " + id + " has got events 1 to " + std::to_string(events) + " of "
                + std::to_string(eventCount) + "; the stream "
                + (isComplete ? "ends as complete" : "ends without its end"));
    if (text != expected || !isComplete)
        return StreamEnd::Broken;
    return events == eventCount ? StreamEnd::Whole : StreamEnd::CutShort;
}

} // namespace

int main(int, char **argv)
{
    Record record(std::string(argv[1]) + "/record.txt");
    const TemporaryFolder folder;
    Store store;
    store.put("op/config", configuration());
    Engine old("i-old", record);
    Engine next("i-new", record);
    old.knows(next);
    next.knows(old);
    store.put("servers/i-old", engineEntry("llm", old.address(), "ready", 64, 1, engineBorn));
    Edge edge(folder.path(), "edge-pnw-a-1", "pnw-a", store.port());
    if (!edge.start() || !edge.waitReady(10)) {
        record.line("the process does not become ready");
        return 2;
    }
    sleepSeconds(3.5);
    std::atomic<int> whole {0};
    std::atomic<int> cutShort {0};
    std::atomic<int> other {0};
    std::vector<std::thread> callers;
    for (int n = 0; n < streamCount; ++n) {
        callers.emplace_back([&, n] {
            const std::string id = "9c41d07be2a35f6" + std::to_string(n);
            const StreamEnd end = readStream(edge, id, record);
            const bool counts = end == StreamEnd::CutShort && old.hasStopped(id);
            ++(end == StreamEnd::Whole ? whole : counts ? cutShort : other);
        });
        sleepSeconds(0.15);
    }
    sleepSeconds(1);
    if (withTrouble()) {
        store.put("servers/i-new",
                  engineEntry("llm", next.address(), "ready", 64, 1, engineBorn + 1));
        record.line("the new engine has registered");
        sleepSeconds(1);
        old.leaveIn(drainSeconds + lingerSeconds);
        store.put("servers/i-old",
                  engineEntry("llm", old.address(), "draining", 64, 2, engineBorn));
        record.line("the old engine has reported that it is draining");
        sleepSeconds(drainSeconds + lingerSeconds);
        old.stop();
        store.remove("servers/i-old");
        record.line("the old engine has exited");
    } else {
        record.line("no engine is replaced");
    }
    for (std::thread &caller : callers)
        caller.join();
    edge.kill();
    record.line(std::to_string(whole) + " streams whole, " + std::to_string(cutShort)
                + " ended as complete before their last event after the system had stopped them, "
                + std::to_string(other) + " others");
    record.line(cutShort > 0 ? "ORDER is broken" : "ORDER holds");
    return cutShort > 0 ? 1 : 0;
}
