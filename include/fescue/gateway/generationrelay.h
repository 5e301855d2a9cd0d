#pragma once

#include "fescue/core/eventid.h"
#include "fescue/core/generation.h"
#include "fescue/core/snapshot.h"
#include "fescue/gateway/completionrequest.h"
#include "fescue/gateway/gatewayparts.h"
#include "fescue/net/httpserver.h"
#include "fescue/net/sseparser.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::gateway {

// What a relay knows about the caller it serves.
struct RelayCaller
{
    AccountName account;
    // Key of the message authentication code in event ids.
    std::string streamSecret;
    Deadline deadline;
};

// Carries one generation from an engine to a caller, on one fiber. All decisions are those of
// GenerationMachine; this class does the input and output that they ask for.
class GenerationRelay
{
public:
    GenerationRelay(GatewayParts &parts, net::ResponseWriter &writer, RelayCaller caller);
    ~GenerationRelay();
    GenerationRelay(const GenerationRelay &) = delete;
    GenerationRelay &operator=(const GenerationRelay &) = delete;

    // Serves a new request to its end.
    void run(const CompletionRequest &request, std::uint32_t maxTokens);

    // Serves a generation from the token after `last` on.
    void resume(const EventId &last);

private:
    enum class Next : std::uint8_t
    {
        Admit,
        Resume,
        Read,
        Stop,
    };

    void loop();
    void admitAndDispatch();
    void openResume();
    void readExchange();
    [[nodiscard]] bool acceptHead(std::string_view engineIncarnation, std::string_view stream);
    void onStreamOpened(net::ClientStream stream);
    void onOpenFailed(const Error &error, const EndpointName &endpoint);
    void onReadFailed(const Error &error);
    void onSseEvent(const net::SseEvent &event);
    void onToken(std::uint64_t index, std::string_view data);
    void onEngineEvent(const engine::Event &event);
    void perform(const generation::Actions &actions);
    void performOne(const generation::Action &action, std::string_view data);
    void appendToken(std::uint64_t index, std::string_view data);
    void finish();
    void fail(const generation::FailFinal &failure);
    void cancelAtEngine(const GenerationId &generation);
    [[nodiscard]] bool flush();
    void startAnswer();
    void keepAlive();
    void chargeTokens();
    void releaseAdmission(EndKind kind);
    [[nodiscard]] Millis silenceLimit() const noexcept;
    [[nodiscard]] net::HttpRequest engineRequest() const;

    GatewayParts &m_parts;
    net::ResponseWriter &m_writer;
    RelayCaller m_caller;
    std::optional<GenerationMachine> m_machine;
    // The request as admission and the engine see it; empty where a generation is resumed.
    std::optional<Request> m_request;
    std::string m_prompt;
    std::uint32_t m_maxTokens = 0;
    bool m_streamed = true;

    Next m_next = Next::Stop;
    Millis m_delay {0};
    std::optional<generation::Resume> m_resume;
    ExchangeNumber m_exchange;
    EndpointName m_endpoint;
    std::int32_t m_priority = 0;
    // True while admission counts the request as running.
    bool m_admitted = false;
    bool m_headSeen = false;
    net::ClientStream m_stream;
    net::SseParser m_parser;
    std::uint32_t m_silentAttempts = 0;
    Millis m_lastByteAt {0};

    std::string m_idPrefix;
    std::string m_out;
    // Text of the answer so far where the caller did not ask for a stream.
    std::string m_text;
    bool m_answerStarted = false;
    std::uint32_t m_uncharged = 0;
    std::vector<char> m_buffer;
};

} // namespace fescue::gateway
