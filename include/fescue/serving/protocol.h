#pragma once

#include "fescue/net/httptypes.h"
#include "fescue/serving/callerrequest.h"
#include "fescue/serving/endpointrecord.h"
#include "fescue/serving/enginesend.h"
#include "fescue/serving/rolloutplan.h"
#include "fescue/serving/servingconfig.h"
#include "fescue/serving/storesubject.h"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::serving {

// Protocol of a platform: decoders and encoders for its messages, and a client of its store. The
// serving layer itself uses no names of a platform.
template <typename P>
concept PlatformProtocol = requires(const net::HttpRequest &request,
                                    const std::vector<net::Header> &headers, std::string_view text,
                                    const EndpointName &endpoint, const EngineSend &send,
                                    const MoveCall &move, const net::Problem &problem,
                                    const std::vector<std::string> &addresses, Millis span,
                                    const ServiceName &service, const RolloutRecord &rollout)
{
    typename P::Store;
    {
        P::classifyKey(text)
        } -> std::same_as<StoreSubject>;
    {
        P::decodeConfig(text)
        } -> std::same_as<Result<ServingConfig>>;
    {
        P::decodeEndpoint(endpoint, text)
        } -> std::same_as<Result<EndpointRecord>>;
    {
        P::decodeRolloutOrder(service, text)
        } -> std::same_as<Result<RolloutOrder>>;
    {
        P::rolloutStatusKey(service)
        } -> std::same_as<std::string>;
    {
        P::encodeRolloutStatus(rollout)
        } -> std::same_as<std::string>;
    {
        P::decodeRolloutStatus(service, text)
        } -> std::same_as<Result<RolloutRecord>>;
    {
        P::decodeCaller(request)
        } -> std::same_as<Result<CallerRequest>>;
    {
        P::encodeSend(request, send)
        } -> std::same_as<net::HttpRequest>;
    {
        P::decodeAnswerHead(200, headers)
        } -> std::same_as<EngineAnswerHead>;
    {
        P::answerHeaders(headers)
        } -> std::same_as<std::vector<net::Header>>;
    {
        P::encodeMove(move)
        } -> std::same_as<net::HttpRequest>;
    {
        P::decodeMoveAnswer(200, text)
        } -> std::same_as<MoveAnswer>;
    {
        P::encodeFreeCopy(text)
        } -> std::same_as<net::HttpRequest>;
    {
        P::encodeReportCall()
        } -> std::same_as<net::HttpRequest>;
    {
        P::decodeReport(text)
        } -> std::same_as<Result<EngineReport>>;
    {
        P::encodeRefusal(problem)
        } -> std::same_as<net::HttpResponse>;
    {
        P::decodeResolution(request)
        } -> std::same_as<std::optional<ZoneName>>;
    {
        P::encodeResolution(addresses, span)
        } -> std::same_as<net::HttpResponse>;
    {
        P::isReadyCheck(request)
        } -> std::same_as<bool>;
};

} // namespace fescue::serving
