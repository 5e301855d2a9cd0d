#pragma once

#include "fescue/core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::soak {

inline constexpr std::string_view soakHost = "soak.example";
inline constexpr std::string_view engineService = "llm";
inline constexpr std::string_view firstPlainService = "ledger-a";
inline constexpr std::string_view secondPlainService = "ledger-b";

enum class CallKind : std::uint8_t
{
    // May be repeated.
    Read,
    // Runs once at most.
    Post,
    // A generation that is streamed; runs once at most.
    Draft,
    // A generation whose stream may be resumed.
    Verdict,
};

[[nodiscard]] constexpr bool isStreamed(CallKind kind) noexcept
{
    return kind == CallKind::Draft || kind == CallKind::Verdict;
}

[[nodiscard]] constexpr bool mayRunAgain(CallKind kind) noexcept
{
    return kind == CallKind::Read || kind == CallKind::Verdict;
}

[[nodiscard]] std::string_view toString(CallKind kind) noexcept;

struct SoakRoute
{
    CallKind kind = CallKind::Read;
    std::string service;
    Millis timeout {0};
};

// One version of the operator's configuration.
struct SoakConfig
{
    std::uint64_t version = 1;
    // By prefix of the path.
    std::map<std::string, SoakRoute> routes;
    // Account by key.
    std::map<std::string, std::string> keys;
    // Routes that are there for their number only.
    unsigned fillers = 0;

    // Text as it lies in the store.
    [[nodiscard]] std::string encode() const;
};

// Divides an account's name from the version of the configuration that told it, so that each
// request shows an endpoint which version its entry has in force.
inline constexpr char versionMark = '@';

// An endpoint as it registers itself in the store.
struct EndpointEntry
{
    std::string service;
    std::string address;
    std::string zone;
    unsigned slots = 64;
    bool draining = false;
    Millis coldLeft {0};
    Millis bornAt {1};
    std::string version = "v1";

    // Text as it lies in the store.
    [[nodiscard]] std::string encode() const;
};

// The configuration that the soak begins with.
[[nodiscard]] SoakConfig firstConfig();

// The versions so far, with the time at which the store acknowledged each. A version is in force
// at processes in touch this long after it: the users' ConfigApplyMs.
class ConfigHistory
{
public:
    static constexpr Millis applyTime = 2_s;

    void add(const SoakConfig &config, Millis acknowledgedAt);
    [[nodiscard]] const SoakConfig &newest() const noexcept { return m_versions.back().config; }

    // What a request that was sent at `from` may meet until `to`. Where `inTouch` is false, every
    // version up to `to` may be in force.
    [[nodiscard]] std::vector<const SoakConfig *> inForce(Millis from, Millis to,
                                                          bool inTouch) const;

private:
    struct Version
    {
        SoakConfig config;
        Millis acknowledgedAt;
    };

    std::vector<Version> m_versions;
};

} // namespace fescue::soak
