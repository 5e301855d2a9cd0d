#include "fescue/gateway/problem.h"

#include <nlohmann/json.hpp>

namespace fescue::gateway {

int httpStatus(ResultCode code) noexcept
{
    switch (code) {
    case ResultCode::Ok:
        return 200;
    case ResultCode::BadRequest:
    case ResultCode::MissingIdempotencyKey:
    case ResultCode::BadEventId:
        return 400;
    case ResultCode::UnknownAccount:
        return 401;
    case ResultCode::NotAllowed:
        return 403;
    case ResultCode::UnknownModel:
    case ResultCode::UnknownService:
    case ResultCode::NoSuchRoute:
        return 404;
    case ResultCode::ClaimInProgress:
    case ResultCode::ClaimOutcomeUnknown:
    case ResultCode::ClaimExpired:
        return 409;
    case ResultCode::BodyTooLarge:
        return 413;
    case ResultCode::KeyReusedForOtherRequest:
        return 422;
    case ResultCode::AccountStreamLimit:
        return 429;
    case ResultCode::HeadTooLarge:
        return 431;
    case ResultCode::BackEndLost:
    case ResultCode::GenerationLost:
    case ResultCode::BackEndProtocol:
        return 502;
    case ResultCode::NoCapacity:
    case ResultCode::DeadlineUnreachable:
    case ResultCode::ShuttingDown:
    case ResultCode::NotReady:
    case ResultCode::ViewOutdated:
    case ResultCode::StoreUnavailable:
    case ResultCode::RetryBudgetSpent:
    case ResultCode::NoEndpoint:
    case ResultCode::BackEndRefused:
        return 503;
    case ResultCode::BackEndTimeout:
    case ResultCode::OutcomeUnknown:
        return 504;
    default:
        return 500;
    }
}

std::string toJson(const Problem &problem)
{
    const std::string name {toString(problem.code)};
    nlohmann::json json = {
            {"type", "urn:fescueworks:" + name},
            {"title", name},
            {"status", httpStatus(problem.code)},
            {"detail", problem.detail},
            {"code", static_cast<unsigned>(problem.code)},
            {"run", toString(problem.run)},
    };
    if (problem.retryAfter)
        json["retry_after_ms"] = problem.retryAfter->count;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

net::HttpResponse toResponse(const Problem &problem)
{
    net::HttpResponse response;
    response.status = httpStatus(problem.code);
    response.headers.push_back({"Content-Type", "application/problem+json"});
    if (problem.retryAfter) {
        const std::int64_t seconds = (problem.retryAfter->count + 999) / 1000;
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    response.body = toJson(problem);
    return response;
}

std::string toEvent(const Problem &problem)
{
    return "event: error\ndata: " + toJson(problem) + "\n\n";
}

} // namespace fescue::gateway
