#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/result.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::net {

// One header field. Names compare without regard to case.
struct Header
{
    std::string name;
    std::string value;
};

// True where two names are the same without regard to the case of ASCII letters.
[[nodiscard]] bool sameHeaderName(std::string_view a, std::string_view b) noexcept;

// Returns the value of the first field of that name, or an empty view.
[[nodiscard]] std::string_view findHeader(const std::vector<Header> &headers,
                                          std::string_view name) noexcept;

// True if a text is not empty and has only visible ASCII characters: it can be sent as it is as the
// value of a field, or as a part of one.
[[nodiscard]] bool isVisibleText(std::string_view text) noexcept;

struct HttpRequest
{
    std::string method = "GET";
    // Path without the query, as on the wire.
    std::string target = "/";
    // Text after '?', as on the wire.
    std::string query;
    std::vector<Header> headers;
    std::string body;
    // Client only: the request may be sent a second time when a reused connection turns out to be
    // closed before any byte of the answer.
    bool mayResend = false;
    // Client only: use a new connection, so that a failure cannot come from one that the peer was
    // closing while it was idle. For requests that must not be repeated.
    bool freshConnection = false;
    // Client only: a new connection is watched for this time before the request is sent. If the
    // peer closes it meanwhile, as servers do with connections over their limit, the call fails
    // with ConnectFailed, and no byte has been sent.
    Millis settleTime {0};
    // Client only: sent in place of `body`, so that a body that is passed on is not copied. Its
    // owner must keep it until the call ends.
    std::optional<std::string_view> borrowedBody;

    [[nodiscard]] std::string_view bodyToSend() const noexcept
    {
        return borrowedBody ? *borrowedBody : std::string_view(body);
    }
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
    // Returns the decoded value of a query parameter.
    [[nodiscard]] std::optional<std::string> queryValue(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    std::vector<Header> headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

// Encodes text for use as the value of a query parameter.
[[nodiscard]] std::string encodeQueryValue(std::string_view text);
// Encodes text for use as a path; '/' stays.
[[nodiscard]] std::string encodePath(std::string_view text);
// Replaces each %XX by the byte that it stands for; other text stays.
[[nodiscard]] std::string decodePercent(std::string_view text);

// What a refusal tells the caller, as problem details of RFC 9457.
struct Problem
{
    int status = 500;
    ResultCode code = ResultCode::Internal;
    RunState run = RunState::NotRun;
    std::string detail;
    // Time after which another try may succeed.
    std::optional<Millis> retryAfter;
};

// Returns the JSON text of the problem details.
[[nodiscard]] std::string problemJson(const Problem &problem);
// Returns the whole answer, with Retry-After in seconds (rounded up) where the problem has one.
[[nodiscard]] HttpResponse problemResponse(const Problem &problem);
// Returns an answer with a JSON body.
[[nodiscard]] HttpResponse jsonResponse(int status, std::string body);

} // namespace fescue::net
