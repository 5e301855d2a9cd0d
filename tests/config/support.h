#pragma once

#include "fescue/config.h"

#include <string>
#include <string_view>

namespace fescue::testing {

// One mistake in a text and where it has to be reported.
struct Mistake
{
    const char *label;
    const char *text;
    std::uint32_t line;
    std::uint32_t column;
    ResultCode code;
    // Part of the message.
    const char *message;
};

// Prints the label only.
inline std::ostream &operator<<(std::ostream &stream, const Mistake &mistake)
{
    return stream << mistake.label;
}

// Returns whether the list holds the mistake at its place, and nothing where it is alone.
inline bool reports(const ErrorList &errors, const Mistake &mistake)
{
    for (const Error &error : errors) {
        if (error.code == mistake.code && error.position.line == mistake.line
            && error.position.column == mistake.column
            && error.message.find(mistake.message) != std::string::npos)
            return true;
    }
    return false;
}

// A snapshot with one item of each kind.
Snapshot sampleSnapshot();

// Service files that declare the sample snapshot.
constexpr std::string_view sampleFile = R"([zone north]
region = alpha

[service draft]
kind = model

[service ledger]
kind = plain

[call ledger /adjust]
repeatable = no
timeout = 2s

[endpoint ash-1]
service = draft
zone = north
vm = vm-ash
address = 127.0.0.1:7101
memory-tokens = 65536
fencing = checks

[account diner]
key-hash = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef

[system]
stream-secret = 00112233445566778899aabbccddeeff
)";

} // namespace fescue::testing
