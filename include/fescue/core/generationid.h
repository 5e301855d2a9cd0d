#pragma once

#include "fescue/core/ids.h"

#include <compare>
#include <string>

namespace fescue {

// Names one generation: a stream of an endpoint during one life of that endpoint. Endpoints may use
// a stream number again after a restart, so the incarnation is part of the name.
struct GenerationId
{
    EndpointName endpoint;
    Incarnation incarnation;
    std::string stream;

    auto operator<=>(const GenerationId &) const = default;
};

// Returns "account~endpoint~incarnation~stream", the text that the message authentication code of
// an event id covers. It binds a generation to the account that asked for it.
[[nodiscard]] std::string generationName(const AccountName &account, const GenerationId &id);

} // namespace fescue
