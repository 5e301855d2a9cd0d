#pragma once

#include "fescue/core/result.h"
#include "fescue/serving/slotbroker.h"

#include <string>
#include <string_view>
#include <variant>

namespace fescue::serving {

// A message between a process and the broker of a service's slots, in one datagram.
struct SlotMessage
{
    ServiceName service;
    std::variant<SlotAsk, SlotAnswer, SlotReturn, SlotReport> content;
    bool operator==(const SlotMessage &) const = default;
};

[[nodiscard]] std::string encodeSlotMessage(const SlotMessage &message);
// Fails with MessageMalformed or MessageVersionUnknown.
[[nodiscard]] Result<SlotMessage> decodeSlotMessage(std::string_view bytes);

} // namespace fescue::serving
