#include "fescue/tools/blockingstore.h"

#include "fescue/core/jsondocument.h"
#include "fescue/tools/blockinghttp.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace fescue::tools {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;
constexpr int statusTooManyRequests = 429;
constexpr int statusServerError = 500;

// Turns a failed exchange into the words of the store.
Error storeError(Error error)
{
    const bool sent = error.code != ResultCode::ConnectFailed;
    if (sent)
        error.code = error.code == ResultCode::MessageMalformed ? ResultCode::StoreProtocol
                                                                : ResultCode::StoreTimeout;
    error.message = "store " + error.message;
    return error;
}

tl::unexpected<Error> statusError(int status)
{
    const bool refused = status == statusTooManyRequests || status >= statusServerError;
    return fail(refused ? ResultCode::StoreUnavailable : ResultCode::StoreProtocol,
                "the store answered with status " + std::to_string(status));
}

tl::unexpected<Error> shapeError()
{
    return fail(ResultCode::StoreProtocol, "the store's answer does not have the expected shape");
}

std::optional<StoreValue> readItem(const json &item)
{
    if (!item.is_object() || !item.contains("key") || !item.contains("value")
        || !item.contains("revision"))
        return std::nullopt;
    if (!item["key"].is_string() || !item["value"].is_string()
        || !item["revision"].is_number_unsigned())
        return std::nullopt;
    return StoreValue {item["key"].get<std::string>(), item["value"].get<std::string>(),
                       item["revision"].get<std::uint64_t>()};
}

std::optional<std::uint64_t> readRevision(const std::string &body)
{
    const json value = parseJson(body).value_or(json());
    if (!value.is_object() || !value.contains("revision")
        || !value["revision"].is_number_unsigned())
        return std::nullopt;
    return value["revision"].get<std::uint64_t>();
}

} // namespace

BlockingStore::BlockingStore(HostPort address, Millis timeout)
    : m_address(std::move(address)), m_timeout(timeout)
{ }

Result<StoreValue> BlockingStore::get(std::string_view key)
{
    HttpCall call;
    call.target = "/v1/kv/" + std::string(key);
    const Result<HttpReply> reply = callHttp(m_address, call, m_timeout);
    if (!reply)
        return tl::unexpected<Error>(storeError(reply.error()));
    if (reply->status == statusNotFound)
        return StoreValue {std::string(key), {}, 0};
    if (reply->status != statusOk)
        return statusError(reply->status);
    std::optional<StoreValue> item = readItem(parseJson(reply->body).value_or(json()));
    if (!item)
        return shapeError();
    return std::move(*item);
}

Result<std::vector<StoreValue>> BlockingStore::list(std::string_view prefix)
{
    HttpCall call;
    call.target = "/v1/list?prefix=" + std::string(prefix);
    const Result<HttpReply> reply = callHttp(m_address, call, m_timeout);
    if (!reply)
        return tl::unexpected<Error>(storeError(reply.error()));
    if (reply->status != statusOk)
        return statusError(reply->status);
    const json body = parseJson(reply->body).value_or(json());
    if (!body.is_object() || !body.contains("items") || !body["items"].is_array())
        return shapeError();
    std::vector<StoreValue> items;
    for (const json &element : body["items"]) {
        std::optional<StoreValue> item = readItem(element);
        if (!item)
            return shapeError();
        items.push_back(std::move(*item));
    }
    return items;
}

Result<std::uint64_t> BlockingStore::putIf(std::string_view key, std::string_view value,
                                           std::uint64_t revision)
{
    HttpCall call;
    call.method = "PUT";
    call.target = "/v1/kv/" + std::string(key);
    call.body = json {{"value", value}}.dump();
    if (revision == 0)
        call.ifNoneMatch = "*";
    else
        call.ifMatch = std::to_string(revision);
    const Result<HttpReply> reply = callHttp(m_address, call, m_timeout);
    if (!reply)
        return tl::unexpected<Error>(storeError(reply.error()));
    if (reply->status == statusPreconditionFailed)
        return fail(ResultCode::StoreConflict, "the key has changed meanwhile");
    if (reply->status != statusOk)
        return statusError(reply->status);
    const std::optional<std::uint64_t> written = readRevision(reply->body);
    if (!written)
        return shapeError();
    return *written;
}

} // namespace fescue::tools
