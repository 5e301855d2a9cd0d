#include "fescue/net/httptypes.h"

#include <algorithm>
#include <cctype>

#include <nlohmann/json.hpp>

namespace fescue::net {

namespace {

constexpr std::string_view hexDigits = "0123456789ABCDEF";

int hexValue(char c) noexcept
{
    const std::size_t at =
        hexDigits.find(static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
    return at == std::string_view::npos ? -1 : static_cast<int>(at);
}

std::string percentEncode(std::string_view text, std::string_view alsoAllowed)
{
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        const unsigned char byte = static_cast<unsigned char>(c);
        const bool isPlain = byte < 0x80
            && (std::isalnum(byte) != 0 || alsoAllowed.find(c) != std::string_view::npos);
        if (isPlain) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += hexDigits[byte >> 4];
        encoded += hexDigits[byte & 0xF];
    }
    return encoded;
}

} // namespace

bool sameHeaderName(std::string_view a, std::string_view b) noexcept
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x))
            == std::tolower(static_cast<unsigned char>(y));
    });
}

std::string_view findHeader(const std::vector<Header> &headers, std::string_view name) noexcept
{
    const auto it = std::find_if(headers.begin(), headers.end(), [name](const Header &header) {
        return sameHeaderName(header.name, name);
    });
    return it == headers.end() ? std::string_view() : std::string_view(it->value);
}

bool isVisibleText(std::string_view text) noexcept
{
    return !text.empty()
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

std::string_view HttpRequest::header(std::string_view name) const noexcept
{
    return findHeader(headers, name);
}

std::optional<std::string> HttpRequest::queryValue(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (decodePercent(pair.substr(0, equals)) != name)
            continue;
        std::string value(pair.substr(std::min(equals + 1, pair.size())));
        std::replace(value.begin(), value.end(), '+', ' ');
        return decodePercent(value);
    }
    return std::nullopt;
}

std::string_view HttpResponse::header(std::string_view name) const noexcept
{
    return findHeader(headers, name);
}

std::string encodeQueryValue(std::string_view text)
{
    return percentEncode(text, "-._~/");
}

std::string encodePath(std::string_view text)
{
    return percentEncode(text, "-._~/:");
}

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool hasCode = text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0
            && hexValue(text[i + 2]) >= 0;
        if (!hasCode) {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2]));
        i += 2;
    }
    return decoded;
}

std::string problemJson(const Problem &problem)
{
    const std::string name(toString(problem.code));
    nlohmann::json json = {
        {"type", "urn:fescueworks:" + name},
        {"title", name},
        {"status", problem.status},
        {"detail", problem.detail},
        {"code", static_cast<int>(problem.code)},
        {"run", std::string(toString(problem.run))},
    };
    if (problem.retryAfter)
        json["retry_after_ms"] = problem.retryAfter->count;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse problemResponse(const Problem &problem)
{
    HttpResponse response;
    response.status = problem.status;
    response.headers.push_back({"Content-Type", "application/problem+json"});
    if (problem.retryAfter) {
        const std::int64_t seconds = (problem.retryAfter->count + 999) / 1000;
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    response.body = problemJson(problem);
    return response;
}

HttpResponse jsonResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace fescue::net
