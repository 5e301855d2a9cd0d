#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"
#include "fescue/core/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace fescue {

// Revision of a key in the store. The store counts all writes with one counter; 0 means none.
struct StoreRevision
{
    std::uint64_t value = 0;
    auto operator<=>(const StoreRevision &) const noexcept = default;
};

enum class ClaimState : std::uint8_t
{
    // The holder may have dispatched the call, or may yet do so.
    Claimed,
    // The service has answered, and the answer is kept.
    Done,
    // The holder has proved that nothing was sent. Only such a claim may be taken over.
    NotRun,
    // The call was sent, and no whole answer came back.
    Unknown,
};

// One life of the member that wrote a claim.
struct ClaimHolder
{
    MemberName member;
    Incarnation incarnation;
    auto operator<=>(const ClaimHolder &) const = default;
};

// What a plain service answered.
struct ServiceAnswer
{
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    bool operator==(const ServiceAnswer &) const = default;
};

// What the store keeps about one call that may not be repeated.
struct ClaimRecord
{
    // Longest body of an answer that is kept, in bytes. Values of the store are limited to 1 MB,
    // and a control character of the body takes seven bytes of the value.
    static constexpr std::size_t maxKeptBody = std::size_t {128} * 1024;

    // Tells the writes of one claim from those of another, to resolve a lost answer.
    std::string nonce;
    // Digest of method, path and body of the call.
    std::string requestDigest;
    ClaimState state = ClaimState::Claimed;
    ClaimHolder holder;
    // Time that was left to answer the call when the claim was written.
    Millis deadlineLeft {0};
    // Valid where the state is Done.
    ServiceAnswer answer;
    // True where the answer was too long to keep, and only its status and type are here.
    bool bodyDropped = false;

    bool operator==(const ClaimRecord &) const = default;

    // Writes the record as the text that the store keeps.
    [[nodiscard]] std::string toText() const;

    // Reads what toText() writes. Fails with ResultCode::StoreProtocol.
    [[nodiscard]] static Result<ClaimRecord> parse(std::string_view text);
};

} // namespace fescue
