#include "loadreport.h"

#include "fescue/core/jsondocument.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

namespace fescue::admission {

Result<LoadReport> parseLoadReport(std::string_view body, Millis elapsed)
{
    const Result<nlohmann::json> parsed = parseJson(body);
    if (!parsed)
        return fail(ResultCode::BackEndProtocol,
                    "the endpoint's load report is not readable: " + parsed.error().message);
    const nlohmann::json &in = *parsed;
    try {
        LoadReport report;
        report.incarnation = Incarnation {in.at("incarnation").get<std::uint64_t>()};
        report.running = in.at("running").get<std::uint32_t>();
        report.cold = in.at("cold").get<bool>();
        report.waiting = in.value("waiting", std::uint32_t {0});
        report.memoryUsed = in.value("memory_used", std::uint64_t {0});
        report.memoryTotal = in.value("memory_total", std::uint64_t {0});
        report.preemptions = in.value("preemptions", std::uint64_t {0});
        report.tokensTotal = in.value("tokens_total", std::uint64_t {0});
        const double firstToken = in.value("first_token_ms", 0.0);
        report.firstToken = Millis {std::llround(std::max(0.0, firstToken))};
        report.age = Millis {in.value("age_ms", std::int64_t {0})} + elapsed;
        return report;
    } catch (const nlohmann::json::exception &error) {
        return fail(ResultCode::BackEndProtocol,
                    std::string("the endpoint's load report is not readable: ") + error.what());
    }
}

} // namespace fescue::admission
