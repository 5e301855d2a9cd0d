#include "fescue/gateway/problem.h"

#include <utility>

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
    case ResultCode::PromptQuarantined:
    case ResultCode::BackEndRefused:
        return 503;
    case ResultCode::BackEndTimeout:
    case ResultCode::OutcomeUnknown:
        return 504;
    default:
        return 500;
    }
}

net::Problem makeProblem(ResultCode code, RunState run, std::string detail)
{
    net::Problem problem;
    problem.status = httpStatus(code);
    problem.code = code;
    problem.run = run;
    problem.detail = std::move(detail);
    return problem;
}

net::Problem makeProblem(ResultCode code, RunState run, std::string detail, Millis retryAfter)
{
    net::Problem problem = makeProblem(code, run, std::move(detail));
    if (retryAfter > Millis {0})
        problem.retryAfter = retryAfter;
    return problem;
}

std::string_view describe(ResultCode code) noexcept
{
    switch (code) {
    case ResultCode::NoCapacity:
        return "no endpoint of the service has room for the request";
    case ResultCode::DeadlineUnreachable:
        return "the request would not be answered before its deadline";
    case ResultCode::RetryBudgetSpent:
        return "the endpoint failed, and too many requests are being retried already";
    case ResultCode::NoEndpoint:
        return "no endpoint of the service is in service";
    case ResultCode::PromptQuarantined:
        return "engines crashed when they answered prompts with a part of this one";
    case ResultCode::ViewOutdated:
        return "this entry cannot confirm that its configuration is current; use another address";
    case ResultCode::StoreUnavailable:
        return "the call may not be repeated, and its claim could not be recorded";
    case ResultCode::BackEndRefused:
        return "the endpoint refused the request";
    case ResultCode::BackEndLost:
        return "the endpoint was lost";
    case ResultCode::GenerationLost:
        return "the engine no longer has the generation; ask for a new one";
    case ResultCode::BackEndTimeout:
        return "the endpoint did not answer in time";
    case ResultCode::OutcomeUnknown:
        return "the call was sent, and whether it took effect is not known; do not repeat it "
               "under another key before checking";
    case ResultCode::BackEndProtocol:
        return "the endpoint's answer violates its protocol";
    case ResultCode::Cancelled:
        return "the request was cancelled";
    case ResultCode::ClaimInProgress:
        return "a call with this idempotency key is in progress";
    case ResultCode::ClaimOutcomeUnknown:
        return "an earlier call with this idempotency key may have taken effect; its outcome is "
               "not known";
    case ResultCode::ClaimExpired:
        return "the deadline passed before the call was sent";
    case ResultCode::KeyReusedForOtherRequest:
        return "the idempotency key belongs to a different request; use a new key";
    case ResultCode::UnknownService:
        return "the configuration does not name the service";
    default:
        return toString(code);
    }
}

std::string toEvent(const net::Problem &problem)
{
    return "event: error\ndata: " + net::problemJson(problem) + "\n\n";
}

} // namespace fescue::gateway
