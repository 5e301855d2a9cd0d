#include "fescue/config/snapshotjson.h"

#include "config/jsonobject.h"
#include "fescue/config/snapshotcheck.h"
#include "fescue/config/words.h"
#include "fescue/core/jsondocument.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace fescue {

namespace {

using nlohmann::json;

json toJson(const Zone &zone)
{
    return {{"name", zone.name.text()}, {"region", zone.region}, {"out", zone.out}};
}

json toJson(const CallContract &call)
{
    return {{"path_prefix", call.pathPrefix},
            {"repeatable", call.repeatable},
            {"timeout_ms", call.timeout.count}};
}

json toJson(const Service &service)
{
    json calls = json::array();
    for (const CallContract &call : service.calls)
        calls.push_back(toJson(call));
    return {{"name", service.name.text()},
            {"kind", toWord(service.kind)},
            {"profile", toWord(service.profile)},
            {"first_token_target_ms", service.firstTokenTarget.count},
            {"token_gap_target_ms", service.tokenGapTarget.count},
            {"queue_limit_ms", service.queueLimit.count},
            {"max_output_tokens", service.maxOutputTokens},
            {"calls", std::move(calls)}};
}

json toJson(const Endpoint &endpoint)
{
    return {{"name", endpoint.name.text()},       {"service", endpoint.service.text()},
            {"zone", endpoint.zone.text()},       {"vm", endpoint.vm.text()},
            {"address", endpoint.address},        {"slots", endpoint.slots},
            {"cold_slots", endpoint.coldSlots},   {"memory_tokens", endpoint.memoryTokens},
            {"fencing", toWord(endpoint.fencing)}};
}

json toJson(const Account &account)
{
    json services = json::array();
    for (const ServiceName &service : account.services)
        services.push_back(service.text());
    return {{"name", account.name.text()},
            {"key_hash", account.keyHash},
            {"weight", account.weight},
            {"max_streams", account.maxStreams},
            {"services", std::move(services)}};
}

template <typename Item>
json toJsonArray(const std::vector<Item> &items)
{
    json list = json::array();
    for (const Item &item : items)
        list.push_back(toJson(item));
    return list;
}

template <typename NameType>
void readName(JsonObject &object, NameType &target)
{
    std::string text;
    object.read("name", text);
    target = NameType(std::move(text));
}

// Reads a word that stands for the first or the second value of an enumeration.
template <typename Enum>
void readChoice(JsonObject &object, const char *key, Enum &target, Enum first, Enum second)
{
    std::string text;
    object.read(key, text);
    if (text == toWord(first))
        target = first;
    else if (text == toWord(second))
        target = second;
    else
        object.report(key,
                      "must be \"" + std::string(toWord(first)) + "\" or \""
                          + std::string(toWord(second)) + '"');
}

Zone readZone(const json &value, const std::string &path, ErrorList &errors)
{
    Zone zone;
    JsonObject object(value, path, errors);
    readName(object, zone.name);
    object.read("region", zone.region);
    object.read("out", zone.out);
    object.finish();
    return zone;
}

CallContract readCall(const json &value, const std::string &path, ErrorList &errors)
{
    CallContract call;
    JsonObject object(value, path, errors);
    object.read("path_prefix", call.pathPrefix);
    object.read("repeatable", call.repeatable);
    object.read("timeout_ms", call.timeout);
    object.finish();
    return call;
}

Service readService(const json &value, const std::string &path, ErrorList &errors)
{
    Service service;
    JsonObject object(value, path, errors);
    readName(object, service.name);
    readChoice(object, "kind", service.kind, ServiceKind::Model, ServiceKind::Plain);
    readChoice(object, "profile", service.profile, Profile::Finish, Profile::Latency);
    object.read("first_token_target_ms", service.firstTokenTarget);
    object.read("token_gap_target_ms", service.tokenGapTarget);
    object.read("queue_limit_ms", service.queueLimit);
    object.read("max_output_tokens", service.maxOutputTokens);
    object.readEach("calls", [&](const json &call, const std::string &callPath) {
        service.calls.push_back(readCall(call, callPath, errors));
    });
    object.finish();
    return service;
}

Endpoint readEndpoint(const json &value, const std::string &path, ErrorList &errors)
{
    Endpoint endpoint;
    std::string service;
    std::string zone;
    std::string vm;
    JsonObject object(value, path, errors);
    readName(object, endpoint.name);
    object.read("service", service);
    object.read("zone", zone);
    object.read("vm", vm);
    object.read("address", endpoint.address);
    object.read("slots", endpoint.slots);
    object.read("cold_slots", endpoint.coldSlots);
    object.read("memory_tokens", endpoint.memoryTokens);
    readChoice(object, "fencing", endpoint.fencing, FencingSupport::Checks,
               FencingSupport::Ignores);
    object.finish();
    endpoint.service = ServiceName(std::move(service));
    endpoint.zone = ZoneName(std::move(zone));
    endpoint.vm = VmName(std::move(vm));
    return endpoint;
}

std::string readWord(const json &value, const std::string &path, ErrorList &errors)
{
    if (value.is_string())
        return value.get<std::string>();
    errors.push_back({ResultCode::ConfigBadValue, path + " must be a string"});
    return {};
}

Account readAccount(const json &value, const std::string &path, ErrorList &errors)
{
    Account account;
    JsonObject object(value, path, errors);
    readName(object, account.name);
    object.read("key_hash", account.keyHash);
    object.read("weight", account.weight);
    object.read("max_streams", account.maxStreams);
    object.readEach("services", [&](const json &service, const std::string &servicePath) {
        account.services.emplace_back(readWord(service, servicePath, errors));
    });
    object.finish();
    return account;
}

void readFormat(JsonObject &object)
{
    std::uint64_t format = 0;
    object.read("format", format);
    if (format != snapshotFormat)
        object.report("format",
                      std::to_string(format) + " is not supported; this program reads format "
                          + std::to_string(snapshotFormat));
}

StoredSnapshot readStored(const json &value, ErrorList &errors)
{
    StoredSnapshot stored;
    Snapshot &snapshot = stored.snapshot;
    JsonObject object(value, {}, errors);
    readFormat(object);
    object.read("version", snapshot.version.value);
    object.readEach("nonces", [&](const json &nonce, const std::string &path) {
        stored.nonces.push_back(readWord(nonce, path, errors));
    });
    object.read("stream_secret", snapshot.streamSecret);
    object.read("directory_ttl_ms", snapshot.directoryTtl);
    object.readEach("zones", [&](const json &zone, const std::string &path) {
        snapshot.zones.push_back(readZone(zone, path, errors));
    });
    object.readEach("vms_out", [&](const json &vm, const std::string &path) {
        snapshot.vmsOut.push_back({VmName(readWord(vm, path, errors))});
    });
    object.readEach("services", [&](const json &service, const std::string &path) {
        snapshot.services.push_back(readService(service, path, errors));
    });
    object.readEach("endpoints", [&](const json &endpoint, const std::string &path) {
        snapshot.endpoints.push_back(readEndpoint(endpoint, path, errors));
    });
    object.readEach("accounts", [&](const json &account, const std::string &path) {
        snapshot.accounts.push_back(readAccount(account, path, errors));
    });
    object.finish();
    return stored;
}

Error tooLarge(std::size_t bytes)
{
    return {ResultCode::ConfigTooLarge,
            "the snapshot has " + std::to_string(bytes) + " bytes; the store holds at most "
                + std::to_string(maxSnapshotBytes)};
}

} // namespace

std::optional<ConfigVersion> StoredSnapshot::versionOf(std::string_view nonce) const noexcept
{
    for (std::size_t n = 0; n < nonces.size() && n < snapshot.version.value; ++n) {
        if (nonces[n] == nonce)
            return ConfigVersion {snapshot.version.value - n};
    }
    return std::nullopt;
}

Result<std::string> serializeSnapshot(const Snapshot &snapshot, std::span<const std::string> nonces)
{
    json vmsOut = json::array();
    for (const VmOut &vm : snapshot.vmsOut)
        vmsOut.push_back(vm.name.text());
    json nonceList = json::array();
    for (const std::string &nonce : nonces.first(std::min(nonces.size(), maxKeptNonces)))
        nonceList.push_back(nonce);
    const json value = {{"format", snapshotFormat},
                        {"version", snapshot.version.value},
                        {"nonces", std::move(nonceList)},
                        {"stream_secret", snapshot.streamSecret},
                        {"directory_ttl_ms", snapshot.directoryTtl.count},
                        {"zones", toJsonArray(snapshot.zones)},
                        {"vms_out", std::move(vmsOut)},
                        {"services", toJsonArray(snapshot.services)},
                        {"endpoints", toJsonArray(snapshot.endpoints)},
                        {"accounts", toJsonArray(snapshot.accounts)}};
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > maxSnapshotBytes)
        return tl::unexpected<Error>(tooLarge(text.size()));
    return text;
}

Result<StoredSnapshot> parseStoredSnapshot(std::string_view text)
{
    if (text.size() > maxSnapshotBytes)
        return tl::unexpected<Error>(tooLarge(text.size()));
    const Result<json> value = parseJson(text);
    if (!value)
        return fail(ResultCode::ConfigSyntax, "the snapshot is not JSON: " + value.error().message);
    ErrorList errors;
    StoredSnapshot stored = readStored(*value, errors);
    if (!errors.empty())
        return tl::unexpected<Error>(std::move(errors.front()));
    const std::vector<Fault> faults = checkSnapshot(stored.snapshot);
    if (!faults.empty())
        return fail(faults.front().code, faults.front().toString());
    return stored;
}

Result<Snapshot> parseSnapshot(std::string_view text)
{
    Result<StoredSnapshot> stored = parseStoredSnapshot(text);
    if (!stored)
        return tl::unexpected<Error>(std::move(stored.error()));
    return std::move(stored->snapshot);
}

} // namespace fescue
