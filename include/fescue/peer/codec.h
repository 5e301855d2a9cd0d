#pragma once

#include "fescue/core/result.h"
#include "fescue/peer/messages.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace fescue::peer {

// Version of the protocol; every message carries it.
constexpr std::uint64_t protocolVersion = 1;

// A configuration of the largest size that the store holds, and its envelope.
constexpr std::size_t maxMessageBytes = (std::size_t {1} << 20) + 4096;

// Returns the CBOR form of a message.
[[nodiscard]] std::string encode(const Message &message);

// Reads a message. Fails with MessageVersionUnknown where another protocol version wrote it, and
// with MessageMalformed where it is too large, is not CBOR or lacks a field. Unknown fields are
// ignored. Any input is safe.
[[nodiscard]] Result<Message> decode(std::string_view bytes);

} // namespace fescue::peer
