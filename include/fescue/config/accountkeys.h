#pragma once

#include "fescue/core/snapshot.h"

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace fescue {

// Returns the SHA-256 of a key as 64 lower-case hexadecimal digits, which is what accounts keep.
[[nodiscard]] std::string hashKey(std::string_view key);

// Compares two texts in a time that depends only on their lengths.
[[nodiscard]] bool equalInConstantTime(std::string_view a, std::string_view b) noexcept;

// Returns the first 16 hexadecimal digits of the HMAC-SHA256 of a text, for event ids.
[[nodiscard]] std::string streamMac(std::string_view secret, std::string_view text);

// Finds the account that a key belongs to. The index is keyed by an HMAC under a random secret of
// this object, so the time of a look-up tells nothing about the stored hashes. Immutable after its
// construction: any thread may look up.
class AccountDirectory
{
public:
    explicit AccountDirectory(std::shared_ptr<const Snapshot> snapshot);

    // Returns nothing where no account has the key. The account lives as long as this object.
    [[nodiscard]] const Account *find(std::string_view key) const;

private:
    [[nodiscard]] std::string indexOf(std::string_view keyHash) const;

    std::shared_ptr<const Snapshot> m_snapshot;
    std::array<unsigned char, 32> m_secret = {};
    std::unordered_map<std::string, const Account *> m_accounts;
};

} // namespace fescue
