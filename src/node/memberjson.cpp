#include "fescue/node/memberjson.h"

#include "fescue/core/jsondocument.h"
#include "fescue/core/jsonnumber.h"

namespace fescue::node {

peer::Role roleOf(const MemberInfo &member) noexcept
{
    return member.callerAddress.empty() ? peer::Role::Admission : peer::Role::Entry;
}

std::string toJson(const MemberInfo &member, std::string_view httpAddress)
{
    const nlohmann::json out {
        {"member", member.name.text()}, {"role", peer::toString(roleOf(member))},
        {"zone", member.zone.text()},   {"vm", member.vm.text()},
        {"http", httpAddress},          {"peer", member.peerAddress},
        {"leaving", member.leaving},    {"incarnation", member.incarnation.value},
        {"link", member.linkMegabits},
    };
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<MemberInfo> parseMember(std::string_view json)
{
    const Result<nlohmann::json> parsed = parseJson(json);
    if (!parsed)
        return fail(ResultCode::StoreProtocol,
                    "a member's key is not readable: " + parsed.error().message);
    const nlohmann::json &in = *parsed;
    try {
        MemberInfo member;
        member.name = MemberName(in.at("member").get<std::string>());
        member.zone = ZoneName(in.at("zone").get<std::string>());
        member.vm = VmName(in.at("vm").get<std::string>());
        if (in.at("role") == peer::toString(peer::Role::Entry))
            member.callerAddress = in.at("http").get<std::string>();
        member.peerAddress = in.at("peer").get<std::string>();
        member.incarnation =
            Incarnation {readWholeNumber<std::uint64_t>(in.at("incarnation"), "incarnation")};
        member.leaving = in.at("leaving").get<bool>();
        member.linkMegabits =
            in.contains("link") ? readWholeNumber<std::uint32_t>(in["link"], "link") : 0;
        if (member.name.empty())
            return fail(ResultCode::StoreProtocol, "a member's key has no name");
        return member;
    } catch (const nlohmann::json::exception &error) {
        return fail(ResultCode::StoreProtocol,
                    std::string("a member's key is not readable: ") + error.what());
    }
}

} // namespace fescue::node
