#pragma once

#include "fescue/core/result.h"
#include "fescue/core/snapshot.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace fescue {

// Largest snapshot text: the store holds values up to a megabyte.
constexpr std::size_t maxSnapshotBytes = 1'000'000;
// Format of the text that this program writes and reads.
constexpr std::uint64_t snapshotFormat = 1;

// A snapshot as it stands in the store. The nonce names the publishing that wrote it, so that a
// publisher who got no answer finds out whether its write took effect.
struct StoredSnapshot
{
    Snapshot snapshot;
    std::string nonce;
    bool operator==(const StoredSnapshot &) const = default;
};

// Returns the JSON text, or ConfigTooLarge.
[[nodiscard]] Result<std::string> serializeSnapshot(const Snapshot &snapshot,
                                                    std::string_view nonce = {});

// Reads a text that serializeSnapshot() wrote. Unknown members, missing members, values out of
// range and broken references are errors: a snapshot that is accepted is complete and consistent.
[[nodiscard]] Result<StoredSnapshot> parseStoredSnapshot(std::string_view text);

// The same without the nonce.
[[nodiscard]] Result<Snapshot> parseSnapshot(std::string_view text);

} // namespace fescue
