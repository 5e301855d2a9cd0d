#pragma once

#include "fescue/core/parsenumber.h"
#include "fescue/serving/protocol.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::test {

// Minimal platform protocol with plain headers, for the serving layer's own tests.
struct TestProtocol
{
    struct Store
    { };

    static serving::StoreSubject classifyKey(std::string_view key)
    {
        return {serving::StoreSubjectKind::Other, std::string(key)};
    }
    static Result<serving::ServingConfig> decodeConfig(std::string_view)
    {
        return fail(ResultCode::ConfigSyntax, "not used");
    }
    static Result<serving::EndpointRecord> decodeEndpoint(const EndpointName &, std::string_view)
    {
        return fail(ResultCode::StoreProtocol, "not used");
    }
    static Result<serving::RolloutOrder> decodeRolloutOrder(const ServiceName &, std::string_view)
    {
        return fail(ResultCode::StoreProtocol, "not used");
    }
    static std::string rolloutStatusKey(const ServiceName &service) { return service.text(); }
    static std::string encodeRolloutStatus(const serving::RolloutRecord &) { return {}; }
    static Result<serving::RolloutRecord> decodeRolloutStatus(const ServiceName &, std::string_view)
    {
        return fail(ResultCode::StoreProtocol, "not used");
    }
    static Result<serving::CallerRequest> decodeCaller(const net::HttpRequest &request)
    {
        serving::CallerRequest caller;
        caller.requestId = request.header("Request");
        caller.host = "test";
        const std::string patience(request.header("Patience"));
        if (!patience.empty())
            caller.patience = Millis {std::stoll(patience)};
        if (!request.header("Tokens").empty())
            caller.generation = serving::GenerationSize {1'000, 800, 800};
        caller.lastEventId = request.header("Last-Event");
        caller.promptParts = parseParts(request.header("Parts"));
        return caller;
    }
    // Parses ids with commas between them; each part has 100 tokens.
    static std::vector<serving::PromptPart> parseParts(std::string_view text)
    {
        std::vector<serving::PromptPart> parts;
        while (!text.empty()) {
            const std::size_t end = std::min(text.find(','), text.size());
            const std::optional<std::uint64_t> id = parseNumber<std::uint64_t>(text.substr(0, end));
            if (id)
                parts.push_back({*id, 100});
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return parts;
    }
    static net::HttpRequest encodeSend(const net::HttpRequest &request,
                                       const serving::EngineSend &send)
    {
        net::HttpRequest out = request;
        out.freshConnection = true;
        out.headers.push_back({"Endpoint", send.endpoint.text()});
        if (send.lastEventId)
            out.headers.push_back({"Begin-After", std::to_string(*send.lastEventId)});
        if (send.backup)
            out.headers.push_back({"Backup", send.backup->toString()});
        if (send.resume) {
            const std::uint64_t last = send.resume->lastEventId.value_or(0);
            out.headers.push_back({"Resume-After", std::to_string(last)});
            out.headers.push_back({"Resume-From", send.resume->handle});
        }
        return out;
    }
    static serving::EngineAnswerHead decodeAnswerHead(int status,
                                                      const std::vector<net::Header> &headers)
    {
        serving::EngineAnswerHead head;
        head.status = status;
        head.requestId = net::findHeader(headers, "Request");
        head.notRun = !net::findHeader(headers, "Not-Run").empty();
        head.isForeignSuccess = !net::findHeader(headers, "Foreign").empty();
        head.leaving = !net::findHeader(headers, "Leaving").empty();
        const std::string pause(net::findHeader(headers, "Pause"));
        head.asksPause = !pause.empty();
        if (head.asksPause)
            head.pause = Millis {std::stoll(pause)};
        return head;
    }
    static std::vector<net::Header> answerHeaders(const std::vector<net::Header> &headers)
    {
        return {{"Signature", std::string(net::findHeader(headers, "Signature"))}};
    }
    static net::HttpRequest encodeMove(const serving::MoveCall &call)
    {
        net::HttpRequest request;
        request.target = "/move";
        if (call.stop)
            request.headers.push_back({"Stop", "1"});
        return request;
    }
    static serving::MoveAnswer decodeMoveAnswer(int status, std::string_view body)
    {
        if (status == 404)
            return {serving::MoveOutcome::NoSuchRun, {}, 0};
        if (status != 200)
            return {};
        return {serving::MoveOutcome::Copied, std::string(body), 0};
    }
    static net::HttpRequest encodeFreeCopy(std::string_view handle)
    {
        net::HttpRequest request;
        request.target = "/free";
        request.headers.push_back({"Handle", std::string(handle)});
        return request;
    }
    static net::HttpRequest encodeReportCall()
    {
        net::HttpRequest request;
        request.target = "/report";
        return request;
    }
    static Result<serving::EngineReport> decodeReport(std::string_view body)
    {
        serving::EngineReport report;
        if (body == "leaving")
            report.leavesIn = 1500_ms;
        return report;
    }
    static net::HttpResponse encodeRefusal(const net::Problem &problem)
    {
        return net::problemResponse(problem);
    }
    static std::optional<ZoneName> decodeResolution(const net::HttpRequest &)
    {
        return std::nullopt;
    }
    static net::HttpResponse encodeResolution(const std::vector<std::string> &, Millis)
    {
        return {};
    }
    static bool isReadyCheck(const net::HttpRequest &) { return false; }
};

static_assert(serving::PlatformProtocol<TestProtocol>);

} // namespace fescue::test
