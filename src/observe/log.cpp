#include "fescue/observe/log.h"

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/shared_ptr.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <future>
#include <iostream>
#include <memory>
#include <system_error>
#include <thread>

namespace fescue::observe {

namespace {

using Backend = boost::log::sinks::text_ostream_backend;

// Lines that may wait for the writing thread: some seconds of a loaded process.
constexpr std::size_t maxQueuedLines = 4096;

struct LogState
{
    std::string process;
    std::atomic<LogLevel> level {LogLevel::Off};
    std::atomic<std::uint64_t> dropped {0};
};

LogState &state()
{
    static LogState instance;
    return instance;
}

// What the queue does with a line that finds it full: drops and counts it.
class CountDropped
{
public:
    template <typename LockT>
    static bool on_overflow(const boost::log::record_view &, LockT &)
    {
        state().dropped.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available() { }
    static void interrupt() { }
};

using Queue = boost::log::sinks::bounded_fifo_queue<maxQueuedLines, CountDropped>;
using Sink = boost::log::sinks::asynchronous_sink<Backend, Queue>;

// Returns the time of the wall clock as in 2026-01-31T12:00:00.123Z.
std::string timestamp()
{
    const std::int64_t millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                                    std::chrono::system_clock::now().time_since_epoch())
                                    .count();
    const std::time_t seconds = static_cast<std::time_t>(millis / 1000);
    std::tm parts = {};
    gmtime_r(&seconds, &parts);
    char buf[40] = {};
    std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%S", &parts);
    char fraction[8] = {};
    std::snprintf(fraction, sizeof fraction, ".%03dZ", static_cast<int>(millis % 1000));
    return std::string(buf) + fraction;
}

bool needsQuotes(std::string_view value) noexcept
{
    if (value.empty())
        return true;
    for (const char c : value) {
        if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
            return true;
    }
    return false;
}

void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        const bool control = static_cast<unsigned char>(c) < ' ' || c == 0x7f;
        line += control ? '?' : c;
    }
    line += '"';
}

void appendField(std::string &line, std::string_view key, std::string_view value)
{
    line += key;
    line += '=';
    if (needsQuotes(value))
        appendQuoted(line, value);
    else
        line += value;
}

} // namespace

Result<LogLevel> parseLogLevel(std::string_view text)
{
    for (const LogLevel level :
         {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error, LogLevel::Off}) {
        if (toString(level) == text)
            return level;
    }
    return fail(ResultCode::SettingsInvalid,
                "unknown log level \"" + std::string(text)
                    + "\"; use debug, info, warning, error or off");
}

std::string_view toString(LogLevel level) noexcept
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    case LogLevel::Off:
        return "off";
    }
    return "off";
}

void initLog(std::string_view process, LogLevel level)
{
    state().process = process;
    state().level = level;
    const boost::shared_ptr<Backend> backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream *) {}));
    backend->auto_flush(true);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(boost::make_shared<Sink>(backend));
}

void renameLog(std::string_view process)
{
    state().process = process;
}

void flushLog()
{
    boost::log::core::get()->flush();
}

bool flushLog(Millis atMost)
{
    // The thread may outlive this call, so it shares what it refers to.
    const std::shared_ptr<std::promise<void>> flushed = std::make_shared<std::promise<void>>();
    std::future<void> done = flushed->get_future();
    try {
        std::thread([flushed] {
            flushLog();
            flushed->set_value();
        }).detach();
    } catch (const std::system_error &e) {
        std::fprintf(stderr, "the log is not flushed: %s\n", e.what());
        return false;
    }
    return done.wait_for(std::chrono::milliseconds(atMost.count)) == std::future_status::ready;
}

std::uint64_t droppedLogLines() noexcept
{
    return state().dropped.load(std::memory_order_relaxed);
}

std::string formatField(std::string_view key, std::string_view value)
{
    std::string text;
    appendField(text, key, value);
    return text;
}

std::string formatFields(std::string_view event, std::initializer_list<Field> fields)
{
    std::string line;
    appendField(line, "event", event);
    for (const Field &field : fields) {
        line += ' ';
        appendField(line, field.key, field.value);
    }
    return line;
}

void logChange(LogLevel level, std::string_view event, std::initializer_list<Field> fields)
{
    if (level == LogLevel::Off || level < state().level.load(std::memory_order_relaxed))
        return;
    std::string line = "ts=" + timestamp() + " level=" + std::string(toString(level)) + ' ';
    appendField(line, "process", state().process);
    line += ' ' + formatFields(event, fields);
    boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << line;
}

void logChange(std::string_view event, std::initializer_list<Field> fields)
{
    logChange(LogLevel::Info, event, fields);
}

} // namespace fescue::observe
