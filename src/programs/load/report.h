#pragma once

#include "measures.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace fescue::load {

// One run with its settings.
struct RunResult
{
    std::string scenario;
    std::string policy;
    // Policy that suits the scenario's profile.
    std::string profile;
    bool zoneOutage = false;
    double load = 0;
    std::uint64_t seed = 0;
    Measures measures;
};

// Returns one line for each run, under a heading.
[[nodiscard]] std::string toTable(const std::vector<RunResult> &runs);
[[nodiscard]] nlohmann::json toJson(const RunResult &run);
// Returns a plot over time: tokens, running and waiting requests, refusals, endpoints in service.
[[nodiscard]] std::string toSvg(const RunResult &run);

} // namespace fescue::load
