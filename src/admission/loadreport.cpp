#include "loadreport.h"

#include "fescue/core/jsondocument.h"
#include "fescue/core/jsonnumber.h"

#include <algorithm>
#include <concepts>
#include <nlohmann/json.hpp>
#include <string>

namespace fescue::admission {

namespace {

// Whole number of a member, or 0 if it is absent.
template <std::integral T>
T optionalNumber(const nlohmann::json &json, const char *key)
{
    return json.contains(key) ? readWholeNumber<T>(json[key], key) : T {0};
}

// Milliseconds of a member, or 0 if it is absent.
Millis optionalSpan(const nlohmann::json &json, const char *key)
{
    return json.contains(key) ? readSpan(json[key], key) : Millis {0};
}

} // namespace

Result<LoadReport> parseLoadReport(std::string_view body, Millis elapsed)
{
    const Result<nlohmann::json> parsed = parseJson(body);
    if (!parsed)
        return fail(ResultCode::BackEndProtocol,
                    "the endpoint's load report is not readable: " + parsed.error().message);
    const nlohmann::json &in = *parsed;
    try {
        LoadReport report;
        report.incarnation = {readWholeNumber<std::uint64_t>(in.at("incarnation"), "incarnation")};
        report.running = readWholeNumber<std::uint32_t>(in.at("running"), "running");
        report.cold = in.at("cold").get<bool>();
        report.waiting = optionalNumber<std::uint32_t>(in, "waiting");
        report.memoryUsed = optionalNumber<std::uint64_t>(in, "memory_used");
        report.memoryTotal = optionalNumber<std::uint64_t>(in, "memory_total");
        report.preemptions = optionalNumber<std::uint64_t>(in, "preemptions");
        report.tokensTotal = optionalNumber<std::uint64_t>(in, "tokens_total");
        report.firstToken = std::max(optionalSpan(in, "first_token_ms"), Millis {0});
        report.age = optionalSpan(in, "age_ms") + elapsed;
        return report;
    } catch (const nlohmann::json::exception &error) {
        return fail(ResultCode::BackEndProtocol,
                    std::string("the endpoint's load report is not readable: ") + error.what());
    }
}

} // namespace fescue::admission
