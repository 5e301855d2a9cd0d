#pragma once

#include "fescue/core/generationid.h"
#include "fescue/core/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fescue {

// Identifies one token of a generation towards the caller. It travels as the id of a server-sent
// event and comes back in Last-Event-ID, so that any entry can resume the generation without
// stored state. The code is not verified here: see generationName().
struct EventId
{
    // Longest accepted text, in bytes.
    static constexpr std::size_t maxLength = 512;
    // Longest accepted endpoint, stream and code, each, in bytes.
    static constexpr std::size_t maxPartLength = 128;

    EndpointName endpoint;
    Incarnation incarnation;
    std::string stream;
    std::string mac;
    std::uint64_t index = 0;

    bool operator==(const EventId &) const = default;

    [[nodiscard]] GenerationId generation() const;

    // Returns "endpoint~incarnation~stream~mac:", to which each token appends its index.
    [[nodiscard]] std::string formatPrefix() const;

    // Returns the whole text, which parse() accepts.
    [[nodiscard]] std::string toString() const;

    // Parses the exact form that toString() writes. Names may consist of letters, digits and ".-_";
    // numbers are decimal without sign or leading zeros. Fails with ResultCode::BadEventId.
    [[nodiscard]] static Result<EventId> parse(std::string_view text);
};

} // namespace fescue
