#pragma once

#include "fescue/core/ids.h"
#include "fescue/net/httpclient.h"

#include <cstdint>
#include <vector>

namespace fescue::net {

enum class VmState : std::uint8_t
{
    Live,
    Leaving,
};

struct Vm
{
    VmName name;
    ZoneName zone;
    VmState state = VmState::Live;
};

// What the platform said about its virtual machines; it lags.
struct VmList
{
    std::uint64_t revision = 0;
    std::vector<Vm> vms;
};

// A client of the platform's VM list.
class VmListClient
{
public:
    VmListClient(HttpClient &client, Address address, Millis timeout = 2_s)
        : m_client(&client), m_address(std::move(address)), m_timeout(timeout)
    { }

    // Errors: those of HttpClient; BackEndProtocol also for an answer other than the list.
    [[nodiscard]] Result<VmList> fetch() const;

private:
    HttpClient *m_client;
    Address m_address;
    Millis m_timeout;
};

} // namespace fescue::net
