#include "fescue/net/storeclient.h"

#include "fescue/core/jsondocument.h"
#include "fescue/core/jsonnumber.h"

namespace fescue::net {

namespace {

using Json = nlohmann::json;

// Time that a watch may take beyond its wait.
constexpr Millis watchMargin = 2_s;

tl::unexpected<StoreError> storeFail(ResultCode code, std::string message,
                                     StoreRevision current = {})
{
    return tl::unexpected(StoreError {{code, "store: " + std::move(message)}, current});
}

tl::unexpected<StoreError> malformed(std::string_view reason)
{
    return storeFail(ResultCode::StoreProtocol,
                     "the answer does not make sense: " + std::string(reason));
}

// Runs a reader of JSON, whose exceptions mean that the answer has another shape.
template <typename T, typename F>
StoreResult<T> readJson(const StoreResult<std::string> &body, F reader)
{
    if (!body)
        return tl::unexpected(body.error());
    const Result<Json> json = parseJson(*body);
    if (!json)
        return malformed(json.error().message);
    try {
        return reader(*json);
    } catch (const Json::exception &e) {
        return malformed(e.what());
    }
}

StoreRevision readRevision(const Json &json)
{
    return {readWholeNumber<std::uint64_t>(json.at("revision"), "revision")};
}

StoreItem readItem(const Json &json)
{
    StoreItem item;
    item.key = json.at("key").get<std::string>();
    item.revision = readRevision(json);
    item.deleted = json.value("deleted", false);
    if (!item.deleted)
        item.value = json.at("value").get<std::string>();
    return item;
}

StoreList readList(const Json &json)
{
    StoreList list;
    list.revision = readRevision(json);
    for (const Json &item : json.at("items"))
        list.items.push_back(readItem(item));
    return list;
}

tl::unexpected<StoreError> failureOf(const Error &error)
{
    switch (error.code) {
    case ResultCode::ConnectFailed:
        return storeFail(ResultCode::ConnectFailed, error.message);
    case ResultCode::BackEndProtocol:
        return storeFail(ResultCode::StoreProtocol, error.message);
    default:
        return storeFail(ResultCode::StoreTimeout, "the outcome is unknown; " + error.message);
    }
}

tl::unexpected<StoreError> failureOf(const HttpRequest &request, const HttpResponse &response)
{
    const std::string what = request.method + " " + request.target;
    switch (response.status) {
    case 404:
        return storeFail(ResultCode::StoreNotFound, what + " found nothing");
    case 412: {
        const Result<Json> json = parseJson(response.body);
        if (!json || !json->is_object() || !json->contains("revision")
            || !(*json)["revision"].is_number_unsigned())
            return malformed("412 without a revision");
        return storeFail(ResultCode::StoreConflict, what + " met another revision",
                         readRevision(*json));
    }
    case 429:
    case 503:
        return storeFail(ResultCode::StoreUnavailable, what + " was refused");
    default:
        return storeFail(ResultCode::StoreProtocol,
                         what + " was answered with status " + std::to_string(response.status));
    }
}

HttpRequest makeRequest(std::string_view method, std::string target, std::string query = {})
{
    HttpRequest request;
    request.method = method;
    request.target = std::move(target);
    request.query = std::move(query);
    request.mayResend = method == "GET";
    return request;
}

std::string keyPath(std::string_view key)
{
    return "/v1/kv/" + encodePath(key);
}

std::string leasePath(LeaseId lease)
{
    return "/v1/leases/" + std::to_string(lease.value);
}

} // namespace

StoreResult<std::string> StoreClient::call(HttpRequest request, Millis timeout) const
{
    if (!request.body.empty())
        request.headers.push_back({"Content-Type", "application/json"});
    Result<HttpResponse> response = m_client->request(m_address, request, timeout);
    if (!response) {
        m_counter->addFailure();
        return failureOf(response.error());
    }
    if (response->status >= 200 && response->status < 300)
        return std::move(response->body);
    return failureOf(request, *response);
}

StoreResult<StoreItem> StoreClient::get(std::string_view key) const
{
    m_counter->addRead();
    return readJson<StoreItem>(call(makeRequest("GET", keyPath(key)), m_timeout), readItem);
}

StoreResult<StoreList> StoreClient::list(std::string_view prefix) const
{
    m_counter->addRead();
    const std::string query = "prefix=" + encodeQueryValue(prefix);
    return readJson<StoreList>(call(makeRequest("GET", "/v1/list", query), m_timeout), readList);
}

StoreResult<StoreRevision> StoreClient::putWith(std::string_view key, std::string_view value,
                                                LeaseId lease, std::vector<Header> condition) const
{
    HttpRequest request = makeRequest("PUT", keyPath(key));
    request.headers = std::move(condition);
    Json body = {{"value", value}};
    if (lease.value != 0)
        body["lease"] = lease.value;
    try {
        request.body = body.dump();
    } catch (const Json::exception &) {
        return storeFail(ResultCode::BadRequest,
                         "the value of " + std::string(key) + " is not UTF-8");
    }
    m_counter->addWrite();
    return readJson<StoreRevision>(call(std::move(request), m_timeout), readRevision);
}

StoreResult<StoreRevision> StoreClient::put(std::string_view key, std::string_view value,
                                            LeaseId lease) const
{
    return putWith(key, value, lease, {});
}

StoreResult<StoreRevision> StoreClient::putIfAbsent(std::string_view key, std::string_view value,
                                                    LeaseId lease) const
{
    return putWith(key, value, lease, {{"If-None-Match", "*"}});
}

StoreResult<StoreRevision> StoreClient::putIfMatch(std::string_view key, std::string_view value,
                                                   StoreRevision revision, LeaseId lease) const
{
    return putWith(key, value, lease, {{"If-Match", std::to_string(revision.value)}});
}

StoreResult<void> StoreClient::remove(std::string_view key,
                                      std::optional<StoreRevision> revision) const
{
    m_counter->addWrite();
    HttpRequest request = makeRequest("DELETE", keyPath(key));
    if (revision)
        request.headers.push_back({"If-Match", std::to_string(revision->value)});
    return call(std::move(request), m_timeout).map([](const std::string &) {});
}

StoreResult<LeaseId> StoreClient::createLease(Millis ttl) const
{
    m_counter->addWrite();
    HttpRequest request = makeRequest("POST", "/v1/leases");
    request.body = Json {{"ttl_ms", ttl.count}}.dump();
    return readJson<LeaseId>(call(std::move(request), m_timeout), [](const Json &json) {
        return LeaseId {readWholeNumber<std::uint64_t>(json.at("lease"), "lease")};
    });
}

StoreResult<void> StoreClient::renewLease(LeaseId lease) const
{
    m_counter->addWrite();
    return call(makeRequest("POST", leasePath(lease) + "/renew"), m_timeout)
        .map([](const std::string &) {});
}

StoreResult<void> StoreClient::revokeLease(LeaseId lease) const
{
    m_counter->addWrite();
    return call(makeRequest("DELETE", leasePath(lease)), m_timeout).map([](const std::string &) {});
}

StoreResult<StoreList> StoreClient::watch(std::string_view prefix, StoreRevision after,
                                          Millis wait) const
{
    m_counter->addWatch();
    const std::string query = "prefix=" + encodeQueryValue(prefix)
        + "&after=" + std::to_string(after.value) + "&wait_ms=" + std::to_string(wait.count);
    return readJson<StoreList>(call(makeRequest("GET", "/v1/watch", query), wait + watchMargin),
                               readList);
}

} // namespace fescue::net
