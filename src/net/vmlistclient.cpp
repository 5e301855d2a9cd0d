#include "fescue/net/vmlistclient.h"

#include "fescue/core/jsondocument.h"
#include "fescue/core/jsonnumber.h"

namespace fescue::net {

namespace {

using Json = nlohmann::json;

tl::unexpected<Error> malformed(const Address &address, std::string_view reason)
{
    return fail(ResultCode::BackEndProtocol,
                "VM list " + address.toString()
                    + ": the answer does not make sense: " + std::string(reason));
}

Vm readVm(const Json &json)
{
    Vm vm;
    vm.name = VmName(json.at("vm").get<std::string>());
    vm.zone = ZoneName(json.at("zone").get<std::string>());
    // A state that this version does not know must not get new work.
    const bool isLive = json.at("state").get<std::string>() == "live";
    vm.state = isLive ? VmState::Live : VmState::Leaving;
    return vm;
}

VmList readList(const Json &json)
{
    VmList list;
    list.revision = readWholeNumber<std::uint64_t>(json.at("revision"), "revision");
    for (const Json &vm : json.at("vms"))
        list.vms.push_back(readVm(vm));
    return list;
}

} // namespace

Result<VmList> VmListClient::fetch() const
{
    HttpRequest request;
    request.target = "/v1/vms";
    request.mayResend = true;
    const Result<HttpResponse> response = m_client->request(m_address, request, m_timeout);
    if (!response)
        return tl::unexpected(response.error());
    if (response->status != 200)
        return malformed(m_address, "status " + std::to_string(response->status));
    const Result<Json> json = parseJson(response->body);
    if (!json)
        return malformed(m_address, json.error().message);
    try {
        return readList(*json);
    } catch (const Json::exception &e) {
        return malformed(m_address, e.what());
    }
}

} // namespace fescue::net
