#include "fescue/config/sectionreader.h"
#include "fescue/tools.h"

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace fescue;
using observe::Event;

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

struct Options
{
    std::vector<std::string> addresses;
    std::vector<std::string> files;
    std::string store;
    std::string format = "text";
    std::int64_t sinceWallMillis = 0;
    std::string timeout = "2s";
    // Only events about this request.
    std::optional<std::string> id;
};

// Fetches time lines and notes which could not be had.
class Collector
{
public:
    explicit Collector(const Options &options) : m_options(&options) { }

    [[nodiscard]] Result<void> run()
    {
        const Result<Millis> timeout = parseDuration(m_options->timeout);
        if (!timeout)
            return tl::unexpected<Error>(timeout.error());
        m_timeout = *timeout;
        for (const std::string &file : m_options->files)
            addFile(file);
        for (const std::string &text : m_options->addresses) {
            const Result<HostPort> address = parseHostPort(text);
            if (!address)
                return tl::unexpected<Error>(address.error());
            add(text, fetch(*address));
        }
        return m_options->store.empty() ? Result<void>() : addMembers();
    }

    [[nodiscard]] std::vector<Event> merged() const { return tools::mergeTimelines(m_timelines); }
    [[nodiscard]] bool complete() const noexcept { return m_complete; }

private:
    [[nodiscard]] Result<void> addMembers()
    {
        const Result<HostPort> address = parseHostPort(m_options->store);
        if (!address)
            return tl::unexpected<Error>(address.error());
        tools::BlockingStore store(*address, m_timeout);
        const Result<std::vector<tools::MemberAddress>> members = tools::readMembers(store);
        if (!members)
            return tl::unexpected<Error>(members.error());
        for (const tools::MemberAddress &member : *members)
            add(member.name.text(),
                member.problem.empty()
                    ? fetch(member.http)
                    : Result<std::string>(fail(ResultCode::StoreProtocol, member.problem)));
        return {};
    }

    [[nodiscard]] Result<std::string> fetch(const HostPort &address) const
    {
        constexpr int statusOk = 200;
        tools::HttpCall call;
        call.target = "/timeline?since=" + std::to_string(m_options->sinceWallMillis);
        Result<tools::HttpReply> reply = tools::callHttp(address, call, m_timeout);
        if (!reply)
            return tl::unexpected<Error>(reply.error());
        if (reply->status != statusOk)
            return fail(ResultCode::MessageMalformed, "status " + std::to_string(reply->status));
        return std::move(reply->body);
    }

    // A file holds a saved answer of GET /timeline, or else the output of processes.
    void addFile(const std::string &file)
    {
        const Result<std::string> text = readTextFile(file);
        if (!text || text->starts_with('{')) {
            add(file, text);
            return;
        }
        tools::LogEvents log = tools::parseLog(*text, m_options->id);
        if (log.otherLines > 0)
            std::cerr << "fescue-timeline: " << file << ": skipped " << log.otherLines
                      << " lines that are no log lines\n";
        std::erase_if(log.events, [this](const Event &event) {
            return event.wallMillis < m_options->sinceWallMillis;
        });
        m_timelines.push_back(std::move(log.events));
    }

    void add(const std::string &source, const Result<std::string> &text)
    {
        const Result<std::vector<Event>> events =
            text.and_then([](const std::string &body) { return tools::parseTimeline(body); });
        if (events) {
            m_timelines.push_back(about(*events));
            return;
        }
        m_complete = false;
        std::cerr << "fescue-timeline: " << source << ": " << events.error().toString() << '\n';
    }

    // Events of a time line name a request as their subject or within their detail.
    [[nodiscard]] std::vector<Event> about(std::vector<Event> events) const
    {
        if (!m_options->id)
            return events;
        std::erase_if(events, [this](const Event &event) {
            return event.subject != *m_options->id
                && event.detail.find(*m_options->id) == std::string::npos;
        });
        return events;
    }

    const Options *m_options;
    Millis m_timeout;
    std::vector<std::vector<Event>> m_timelines;
    bool m_complete = true;
};

void declare(CLI::App &app, Options &options)
{
    app.set_version_flag("--version", std::string("fescue-timeline ") + FESCUE_VERSION);
    app.footer("Exit codes: 0 done, 1 a time line is missing, 2 usage.");
    app.add_option("--from", options.addresses, "address of a daemon, IP:PORT; may be repeated");
    app.add_option("--store", options.store, "address of the key-value service: all its daemons");
    app.add_option("FILE", options.files,
                   "saved answers of GET /timeline, or the standard output of processes");
    app.add_option("--id", options.id, "only events about this request");
    app.add_option("--format", options.format, "text, or trace for Chrome's trace viewer")
        ->check(CLI::IsMember({"text", "trace"}));
    app.add_option("--since", options.sinceWallMillis,
                   "leave out events before this time, in milliseconds since 1970")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--timeout", options.timeout, "time for one daemon, as in 2s");
}

int run(const Options &options)
{
    if (options.addresses.empty() && options.files.empty() && options.store.empty()) {
        std::cerr << "fescue-timeline: name a source: --from, --store or a file\n";
        return exitUsage;
    }
    Collector collector(options);
    const Result<void> collected = collector.run();
    if (!collected) {
        std::cerr << "fescue-timeline: " << collected.error().toString() << '\n';
        return exitFailed;
    }
    const std::vector<Event> events = collector.merged();
    if (options.format == "trace")
        std::cout << tools::formatTrace(events) << '\n';
    else
        std::cout << tools::formatText(events);
    return collector.complete() ? 0 : exitFailed;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        CLI::App app {"Merges the time lines of several processes."};
        Options options;
        declare(app, options);
        try {
            app.parse(argc, argv);
        } catch (const CLI::ParseError &error) {
            return app.exit(error) == 0 ? 0 : exitUsage;
        }
        return run(options);
    } catch (const std::exception &error) {
        std::cerr << "fescue-timeline: " << error.what() << '\n';
        return exitFailed;
    }
}
