#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/result.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace fescue::observe {

enum class LogLevel : std::uint8_t
{
    Debug,
    Info,
    Warning,
    Error,
    // Nothing is written.
    Off,
};

// Reads "debug", "info", "warning", "error" or "off".
[[nodiscard]] Result<LogLevel> parseLogLevel(std::string_view text);
[[nodiscard]] std::string_view toString(LogLevel level) noexcept;

// One key and value of a log line.
struct Field
{
    Field(std::string_view fieldKey, std::string_view fieldValue) : key(fieldKey), value(fieldValue)
    { }
    template <std::integral T>
    Field(std::string_view fieldKey, T number) : key(fieldKey), value(std::to_string(number))
    { }

    std::string key;
    std::string value;
};

// Directs log lines of this process to standard output. Called once, before the first thread
// starts; until then nothing is written.
//
// Lines wait in a queue for a thread that writes them, so that no caller ever waits for the
// output. Lines that find the queue full are dropped and counted.
void initLog(std::string_view process, LogLevel level);

// Changes the name of this process in the lines to come. Called while no other thread logs.
void renameLog(std::string_view process);

// Longest time that the end of a process waits for the reader of its log.
inline constexpr Millis logFlushLimit = 200_ms;

// Waits until the lines that are queued have been written. For the end of the process.
void flushLog();

// The same for at most the given time, since the reader of standard output may have stalled.
// Returns false if lines may be missing. The process has to end after it.
bool flushLog(Millis atMost);

// Lines dropped so far because the queue was full.
[[nodiscard]] std::uint64_t droppedLogLines() noexcept;

// Writes a line "ts=… level=… process=… event=… key=value…" about a decision on a request or a
// change of state. May be called from any thread.
void logChange(LogLevel level, std::string_view event, std::initializer_list<Field> fields = {});

// The same at level Info.
void logChange(std::string_view event, std::initializer_list<Field> fields = {});

// Returns "key=value", with quotes where a line needs them.
[[nodiscard]] std::string formatField(std::string_view key, std::string_view value);

// Returns the part "event=… key=value…". Values with spaces, quotes or control characters are
// quoted, so that a line stays a line.
[[nodiscard]] std::string formatFields(std::string_view event, std::initializer_list<Field> fields);

} // namespace fescue::observe
