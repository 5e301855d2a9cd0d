#pragma once

#include "tests/clients/crowd.h"

#include <array>
#include <string_view>

namespace fescue::test {

// The addresses of a process that clients reach, and what they ask for there.
enum class Door : std::uint8_t
{
    // A route of calls that may not be repeated, of reads, and of streams.
    Post,
    Read,
    Draft,
    NoRoute,
    Ready,
    Directory,
    Metrics,
    Peer,
};

inline constexpr std::array<Door, 8> allDoors {Door::Post,    Door::Read,  Door::Draft,
                                               Door::NoRoute, Door::Ready, Door::Directory,
                                               Door::Metrics, Door::Peer};

[[nodiscard]] std::string_view nameOf(Door door) noexcept;

// Misbehaviour of clients.
enum class ClientKind : std::uint8_t
{
    WholeBodies,
    BodiesInPieces,
    OneByteChunks,
    BodiesThatStopShort,
    ChunksThatStopShort,
    AnnouncedOverLimit,
    ChunksOverLimit,
    ManyFields,
    ManyQueryFields,
    ManyJsonFields,
    ManyPromptParts,
    ChunkExtensions,
    ManyTrailers,
    RequestsSentAhead,
    UnreadAnswers,
    SlowHeads,
    SlowBodies,
    SlowReads,
    HalfClosed,
    Reset,
    Idle,
};

inline constexpr std::size_t clientKinds = static_cast<std::size_t>(ClientKind::Idle) + 1;

// Returns what a client of the kind sends at an address.
[[nodiscard]] ClientScript scriptOf(ClientKind kind, Door door);

} // namespace fescue::test
