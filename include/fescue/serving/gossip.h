#pragma once

#include "fescue/core/ids.h"
#include "fescue/core/memberinfo.h"
#include "fescue/core/result.h"
#include "fescue/serving/loadledger.h"
#include "fescue/serving/repeatbudget.h"

#include <string>
#include <string_view>
#include <vector>

namespace fescue::serving {

// What an entry process tells the others several times a second, in one datagram. A lost one is
// made up for by the next.
struct Gossip
{
    MemberInfo member;
    ConfigVersion configVersion;
    // Work that the process has given to endpoints.
    std::vector<EndpointLoadOf> loads;
    // Repeats of requests that it has used lately.
    std::vector<RepeatsOf> repeats;
    bool operator==(const Gossip &) const = default;
};

// Encodes as CBOR.
[[nodiscard]] std::string encodeGossip(const Gossip &gossip);
// Fails with MessageMalformed.
[[nodiscard]] Result<Gossip> decodeGossip(std::string_view bytes);

} // namespace fescue::serving
