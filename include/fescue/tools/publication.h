#pragma once

#include "fescue/config/snapshotdiff.h"
#include "fescue/config/snapshotjson.h"
#include "fescue/tools/blockingstore.h"

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::tools {

constexpr std::string_view configKey = "config/current";
// Times that a write with an unknown outcome is repeated, and that an edit starts afresh.
constexpr int maxPublishAttempts = 5;

// A store with compare-and-swap and the error codes of BlockingStore.
template <typename T>
concept ConfigStore = requires(T &store, std::string_view key, std::string_view value,
                               std::uint64_t revision)
{
    {
        store.get(key)
        } -> std::same_as<Result<StoreValue>>;
    {
        store.putIf(key, value, revision)
        } -> std::same_as<Result<std::uint64_t>>;
};

// Makes the next snapshot out of the current one.
using SnapshotEdit = std::function<Result<Snapshot>(const Snapshot &current)>;

// What to do when somebody else has published meanwhile.
enum class OnConflict : std::uint8_t
{
    // Fail: the edit was made for the version that was read.
    Report,
    // Apply the edit to the newer version.
    Repeat,
};

struct PublishRequest
{
    // Names this publishing; different for each one.
    std::string nonce;
    // Refuse to publish on top of any other version.
    std::optional<ConfigVersion> baseVersion;
    // Highest version that a daemon has in force. Daemons never go back, so after the store has
    // lost its data the next version has to be above this one.
    ConfigVersion versionInForce;
    OnConflict onConflict = OnConflict::Report;
};

// A publishing that took effect, or that would have changed nothing.
struct Published
{
    ConfigVersion version;
    // Greater than the version where another publishing has followed already.
    ConfigVersion current;
    // What changed. Empty where the published configuration is as wanted already: then nothing
    // was written, and the version is the one that was found.
    std::vector<std::string> changes;
};

// A publishing that did not take effect, or may not have.
struct PublishFailure
{
    Error error;
    // ConfigVersionConflict: the version in the store and how it differs from what was refused.
    ConfigVersion current;
    std::vector<std::string> differences;
};

// The published configuration with its place in the store.
struct CurrentConfig
{
    StoredSnapshot stored;
    std::uint64_t revision = 0;
};

// Reads the published configuration; version 0 where there is none.
template <ConfigStore Store>
[[nodiscard]] Result<CurrentConfig> readCurrentConfig(Store &store);

// Publishes an edit with compare-and-swap on the revision of the store. A write whose answer is
// lost is resolved by reading back: its nonce tells whether it took effect, and while the revision
// is the old one the same write is repeated, which cannot take effect twice.
template <ConfigStore Store>
[[nodiscard]] tl::expected<Published, PublishFailure>
publishEdit(Store &store, const SnapshotEdit &edit, const PublishRequest &request);

// Returns 32 random hexadecimal digits.
[[nodiscard]] std::string makeNonce();

} // namespace fescue::tools

#include "fescue/tools/publication.inl"
