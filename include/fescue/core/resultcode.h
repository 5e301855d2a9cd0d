#pragma once

#include <cstdint>
#include <string_view>

namespace fescue {

// Numbered outcome of an operation. The numbers are part of the interface towards callers and
// operators and never change meaning; docs/ERRORS.md holds the table.
enum class ResultCode : std::uint16_t
{
    Ok = 0,

    // Requests that are wrong in themselves.
    BadRequest = 1000,
    UnknownAccount = 1001,
    NotAllowed = 1002,
    UnknownModel = 1003,
    UnknownService = 1004,
    HeadTooLarge = 1005,
    BodyTooLarge = 1006,
    MissingIdempotencyKey = 1007,
    BadEventId = 1008,
    NoSuchRoute = 1009,
    KeyReusedForOtherRequest = 1010,

    // Refusals before anything ran.
    NoCapacity = 2000,
    DeadlineUnreachable = 2001,
    AccountStreamLimit = 2002,
    ShuttingDown = 2003,
    NotReady = 2004,
    ViewOutdated = 2005,
    StoreUnavailable = 2006,
    RetryBudgetSpent = 2007,
    NoEndpoint = 2008,
    PromptQuarantined = 2009,

    // Failures of back ends.
    BackEndRefused = 3000,
    BackEndLost = 3001,
    GenerationLost = 3002,
    BackEndTimeout = 3003,
    OutcomeUnknown = 3004,
    BackEndProtocol = 3005,
    Cancelled = 3006,

    // Calls that may not be repeated.
    ClaimInProgress = 4000,
    ClaimOutcomeUnknown = 4001,
    ClaimExpired = 4002,

    // Configuration.
    ConfigSyntax = 5000,
    ConfigUnknownKey = 5001,
    ConfigBadValue = 5002,
    ConfigMissing = 5003,
    ConfigConflict = 5004,
    ConfigVersionConflict = 5005,
    ConfigTooLarge = 5006,

    // The platform and our own links.
    StoreTimeout = 6000,
    StoreConflict = 6001,
    StoreNotFound = 6002,
    StoreProtocol = 6003,
    LinkClosed = 6004,
    LinkSilent = 6005,
    MessageMalformed = 6006,
    MessageVersionUnknown = 6007,
    ConnectFailed = 6008,
    LeaseLost = 6009,
    FenceOutdated = 6010,

    // Programs and their settings.
    SettingsInvalid = 7000,
    AddressInUse = 7001,
    FileUnreadable = 7002,
    SettingsIncomplete = 7003,
    AddressUnavailable = 7004,
    Internal = 7999,
};

// What is known about whether the work of a request took place.
enum class RunState : std::uint8_t
{
    NotRun,
    Ran,
    Unknown,
};

// Returns the stable identifier of a code, for example "no-capacity".
[[nodiscard]] std::string_view toString(ResultCode code) noexcept;

// Returns "not-run", "ran" or "unknown".
[[nodiscard]] std::string_view toString(RunState state) noexcept;

} // namespace fescue
