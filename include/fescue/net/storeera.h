#pragma once

#include <cstdint>
#include <optional>

namespace fescue::net {

// Follows the era that the answers of one store tell, for all clients of that store in a process.
// The era rises whenever the store has been restored from an older copy.
class StoreEraTracker
{
public:
    // Takes the era that an answer tells, or none where it tells none that can be read. Returns the
    // era that the answer belongs to; an answer without one belongs to the latest era known.
    // Returns none where the answer is of an earlier era than another one before: it is outdated.
    [[nodiscard]] std::optional<std::uint64_t> take(std::optional<std::uint64_t> told) noexcept;
    // The latest era known; 0 before the first.
    [[nodiscard]] std::uint64_t current() const noexcept { return m_current; }

private:
    std::uint64_t m_current = 0;
};

} // namespace fescue::net
