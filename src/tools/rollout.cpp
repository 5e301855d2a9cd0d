#include "fescue/tools/rollout.h"

#include "fescue/core/jsondocument.h"
#include "fescue/tools/blockinghttp.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace fescue::tools {

namespace {

using nlohmann::json;

constexpr std::size_t parallelQueries = 16;
constexpr Millis queryTimeout = 500_ms;
constexpr Millis pollInterval = 100_ms;
constexpr int statusOk = 200;

MemberStatus askMember(const MemberAddress &member, Millis timeout)
{
    if (!member.problem.empty())
        return {member.name, {}, {}, {}, member.problem};
    HttpCall call;
    call.target = "/status";
    const Result<HttpReply> reply = callHttp(member.http, call, timeout);
    if (!reply)
        return {member.name, member.http, {}, {}, reply.error().message};
    if (reply->status != statusOk)
        return {member.name, member.http, {}, {}, "status " + std::to_string(reply->status)};
    return parseMemberStatus(member, reply->body);
}

bool allHave(const std::vector<MemberStatus> &statuses, ConfigVersion version)
{
    return std::all_of(statuses.begin(), statuses.end(), [version](const MemberStatus &status) {
        return status.hasAtLeast(version);
    });
}

} // namespace

Result<MemberAddress> parseMemberAddress(std::string_view name, std::string_view text)
{
    const json value = parseJson(text).value_or(json());
    if (!value.is_object() || !value.contains("http") || !value["http"].is_string())
        return fail(ResultCode::StoreProtocol,
                    "member " + std::string(name) + " has no address \"http\" in the store");
    const Result<HostPort> address = parseHostPort(value["http"].get_ref<const std::string &>());
    if (!address)
        return tl::unexpected<Error>(address.error());
    return MemberAddress {MemberName(name), *address, {}};
}

MemberStatus parseMemberStatus(const MemberAddress &member, std::string_view text)
{
    MemberStatus status {member.name, member.http, {}, {}, {}};
    const json value = parseJson(text).value_or(json());
    if (!value.is_object() || !value.contains("config_version")
        || !value["config_version"].is_number_unsigned()) {
        status.problem = "the answer of /status has no config_version";
        return status;
    }
    status.version = ConfigVersion {value["config_version"].get<std::uint64_t>()};
    if (value.contains("role") && value["role"].is_string())
        status.role = value["role"].get<std::string>();
    return status;
}

Result<std::vector<MemberAddress>> readMembers(BlockingStore &store)
{
    const Result<std::vector<StoreValue>> items = store.list(membersPrefix);
    if (!items)
        return tl::unexpected<Error>(items.error());
    std::vector<MemberAddress> members;
    for (const StoreValue &item : *items) {
        const std::string_view name =
            std::string_view(item.key).substr(std::min(membersPrefix.size(), item.key.size()));
        Result<MemberAddress> member = parseMemberAddress(name, item.value);
        if (member)
            members.push_back(std::move(*member));
        else
            members.push_back({MemberName(name), {}, member.error().message});
    }
    return members;
}

std::vector<MemberStatus> askMembers(const std::vector<MemberAddress> &members, Millis timeout)
{
    std::vector<MemberStatus> statuses(members.size());
    std::atomic<std::size_t> next {0};
    const auto work = [&] {
        for (std::size_t n = next++; n < members.size(); n = next++)
            statuses[n] = askMember(members[n], timeout);
    };
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < std::min(parallelQueries, members.size()); ++n)
        threads.emplace_back(work);
    for (std::thread &thread : threads)
        thread.join();
    return statuses;
}

Result<std::vector<MemberStatus>> awaitVersion(BlockingStore &store, ConfigVersion version,
                                               Millis limit)
{
    const SteadyClock clock;
    const Millis deadline = clock.now() + limit;
    while (true) {
        const Result<std::vector<MemberAddress>> members = readMembers(store);
        const Millis left = deadline - clock.now();
        if (!members && left <= 0_ms)
            return tl::unexpected<Error>(members.error());
        if (members) {
            std::vector<MemberStatus> statuses =
                askMembers(*members, std::clamp(left, pollInterval, queryTimeout));
            if (allHave(statuses, version) || clock.now() >= deadline)
                return statuses;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(pollInterval.count));
    }
}

} // namespace fescue::tools
