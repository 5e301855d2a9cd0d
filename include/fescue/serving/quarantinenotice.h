#pragma once

#include "fescue/core/ids.h"
#include "fescue/core/result.h"
#include "fescue/serving/crashreport.h"
#include "fescue/serving/quarantineentry.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::serving {

// What a process reports to the others about crashes of engines and the prompt parts that may have
// caused them.
struct QuarantineNotice
{
    ZoneName fromZone;
    std::vector<CrashReport> crashes;
    // Suspected parts of requests that have started.
    std::vector<PartId> startedParts;
    std::vector<QuarantineEntry> entries;

    [[nodiscard]] bool empty() const noexcept
    {
        return crashes.empty() && startedParts.empty() && entries.empty();
    }
    bool operator==(const QuarantineNotice &) const = default;
};

// Encodes as CBOR, in as many messages as are needed for each to fit into a datagram. Times are
// sent as ages, since the clocks of two processes cannot be compared; `now` is the time of
// encoding.
[[nodiscard]] std::vector<std::string> encodeQuarantineNotice(const QuarantineNotice &notice,
                                                              Millis now);
// Fails with MessageMalformed.
[[nodiscard]] Result<QuarantineNotice> decodeQuarantineNotice(std::string_view bytes, Millis now);

} // namespace fescue::serving
