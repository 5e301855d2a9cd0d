#pragma once

#include "fescue/core/result.h"
#include "fescue/core/snapshot.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescue {

// Largest snapshot text: the store holds values up to a megabyte.
constexpr std::size_t maxSnapshotBytes = 1'000'000;
// Format of the text that this program writes and reads.
constexpr std::uint64_t snapshotFormat = 1;

// Nonces that a stored snapshot keeps, its own included.
constexpr std::size_t maxKeptNonces = 16;

// A snapshot as it stands in the store. Each publishing has a nonce, so that a publisher who got
// no answer finds out whether its write took effect. The first nonce is that of this version, the
// second that of the version before, and so on.
struct StoredSnapshot
{
    Snapshot snapshot;
    std::vector<std::string> nonces;
    bool operator==(const StoredSnapshot &) const = default;

    // Returns the version that a nonce was published as; nothing where it is not known.
    [[nodiscard]] std::optional<ConfigVersion> versionOf(std::string_view nonce) const noexcept;
};

// Returns the JSON text, or ConfigTooLarge.
[[nodiscard]] Result<std::string> serializeSnapshot(const Snapshot &snapshot,
                                                    std::span<const std::string> nonces = {});

// Reads a text that serializeSnapshot() wrote. Unknown members, missing members, values out of
// range and broken references are errors: a snapshot that is accepted is complete and consistent.
[[nodiscard]] Result<StoredSnapshot> parseStoredSnapshot(std::string_view text);

// The same without the nonces.
[[nodiscard]] Result<Snapshot> parseSnapshot(std::string_view text);

} // namespace fescue
