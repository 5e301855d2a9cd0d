#pragma once

#include "fescue/serving/slotbroker.h"

#include <functional>

namespace fescue::serving {

// The wish of a request for a slot at an endpoint of its service.
struct SlotWish
{
    ServiceName service;
    AccountName account;
    int priority = 0;
    Millis deadline {0};
    // Time within which an answer has its full value.
    Millis target {0};
    // Endpoints that are used again only if there is no other, and those that must not be used.
    std::set<EndpointName> tried;
    std::set<EndpointName> excluded;
    std::function<bool()> callerGone;
};

enum class SlotOutcome : std::uint8_t
{
    // The slots of the service are not shared out, or nobody answered: the process decides alone.
    Unshared,
    Granted,
    // No slot becomes free in time.
    Refused,
    CallerGone,
};

// A slot, which must be given back.
struct SlotGrant
{
    SlotOutcome outcome = SlotOutcome::Unshared;
    EndpointName endpoint;
    // The process that granted it, and the number of the request there.
    MemberName broker;
    std::uint64_t number = 0;
    Millis grantedAt {0};
};

} // namespace fescue::serving
