#pragma once

#include "fescue/core/memberinfo.h"
#include "fescue/core/result.h"
#include "fescue/serving/enginesend.h"
#include "fescue/serving/loadledger.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::serving {

// Reports of engines travel as loads: what an engine has, whoever gave it.
[[nodiscard]] EndpointLoad toLoad(const EngineReport &report) noexcept;

// Decides who asks an engine for its report: one of the processes that watch the store, the same
// one in the view of all, so that the number of questions does not grow with that of processes.
[[nodiscard]] bool mustAsk(const EndpointName &engine, const MemberName &self,
                           std::span<const MemberView> members);

// Longest datagram with reports; fits into one packet of the usual size.
inline constexpr std::size_t maxReportBytes = 1200;

// Encodes loads as CBOR, in as many datagrams as they need.
[[nodiscard]] std::vector<std::string> encodeReports(std::span<const EndpointLoadOf> loads);
// Fails with MessageMalformed.
[[nodiscard]] Result<std::vector<EndpointLoadOf>> decodeReports(std::string_view bytes);

} // namespace fescue::serving
