#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescue {

// What a service prefers when it cannot have everything.
enum class Profile : std::uint8_t
{
    // Long generations must end: few stalls and preemptions.
    Finish,
    // Late answers lose their value: short tail between tokens, early refusal.
    Latency,
};

enum class ServiceKind : std::uint8_t
{
    Model,
    Plain,
};

// Whether an endpoint refuses orders that carry an outdated fencing number.
enum class FencingSupport : std::uint8_t
{
    Ignores,
    Checks,
};

// One availability zone.
struct Zone
{
    ZoneName name;
    std::string region;
    bool out = false;
    bool operator==(const Zone &) const = default;
};

// One virtual machine that operators have taken out of service.
struct VmOut
{
    VmName name;
    bool operator==(const VmOut &) const = default;
};

// A path of a plain service whose calls share one contract. The longest matching prefix applies.
struct CallContract
{
    std::string pathPrefix;
    bool repeatable = false;
    Millis timeout = 5_s;
    bool operator==(const CallContract &) const = default;
};

// A model or a plain service, as its operators declare it beside its code.
struct Service
{
    ServiceName name;
    ServiceKind kind = ServiceKind::Model;
    Profile profile = Profile::Finish;
    Millis firstTokenTarget = 960_ms;
    Millis tokenGapTarget = 64_ms;
    // Longest time that a request may wait for capacity when the caller sets no deadline.
    Millis queueLimit = 30_s;
    std::uint32_t maxOutputTokens = 32768;
    std::vector<CallContract> calls;
    bool operator==(const Service &) const = default;
};

// One back end process.
struct Endpoint
{
    EndpointName name;
    ServiceName service;
    ZoneName zone;
    VmName vm;
    // IP number and port.
    std::string address;
    // Requests that run at the same time when warm and when just started.
    std::uint32_t slots = 16;
    std::uint32_t coldSlots = 2;
    // Memory for prompts and outputs, in tokens; 0 for plain services.
    std::uint64_t memoryTokens = 0;
    FencingSupport fencing = FencingSupport::Ignores;
    bool operator==(const Endpoint &) const = default;
};

// A client account. Its key is kept as the hexadecimal SHA-256 of the key.
struct Account
{
    AccountName name;
    std::string keyHash;
    // Relative share of tokens under contention.
    double weight = 1.0;
    std::uint32_t maxStreams = 64;
    std::vector<ServiceName> services; // empty: all
    bool operator==(const Account &) const = default;
};

// The configuration that the system runs on: everything operators have published, as one value.
// Vectors are sorted by name, and names are unique.
struct Snapshot
{
    ConfigVersion version;
    std::vector<Zone> zones;
    std::vector<VmOut> vmsOut;
    std::vector<Service> services;
    std::vector<Endpoint> endpoints;
    std::vector<Account> accounts;
    // Key of the message authentication code in event ids, hexadecimal.
    std::string streamSecret;
    // How long callers may keep a directory answer.
    Millis directoryTtl = 10_s;
    bool operator==(const Snapshot &) const = default;

    [[nodiscard]] const Zone *findZone(const ZoneName &name) const noexcept;
    [[nodiscard]] const Service *findService(const ServiceName &name) const noexcept;
    [[nodiscard]] const Endpoint *findEndpoint(const EndpointName &name) const noexcept;
    [[nodiscard]] const Account *findAccount(const AccountName &name) const noexcept;
    [[nodiscard]] bool isVmOut(const VmName &name) const noexcept;
    // True where the zone is known and in service.
    [[nodiscard]] bool isZoneIn(const ZoneName &name) const noexcept;
};

} // namespace fescue
