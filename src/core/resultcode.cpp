#include "fescue/core/resultcode.h"

#include <algorithm>
#include <array>

namespace fescue {

namespace {

struct CodeName
{
    ResultCode code;
    std::string_view name;
};

constexpr std::array codeNames = {
    CodeName {ResultCode::Ok, "ok"},
    CodeName {ResultCode::BadRequest, "bad-request"},
    CodeName {ResultCode::UnknownAccount, "unknown-account"},
    CodeName {ResultCode::NotAllowed, "not-allowed"},
    CodeName {ResultCode::UnknownModel, "unknown-model"},
    CodeName {ResultCode::UnknownService, "unknown-service"},
    CodeName {ResultCode::HeadTooLarge, "head-too-large"},
    CodeName {ResultCode::BodyTooLarge, "body-too-large"},
    CodeName {ResultCode::MissingIdempotencyKey, "missing-idempotency-key"},
    CodeName {ResultCode::BadEventId, "bad-event-id"},
    CodeName {ResultCode::NoSuchRoute, "no-such-route"},
    CodeName {ResultCode::KeyReusedForOtherRequest, "key-reused-for-other-request"},
    CodeName {ResultCode::NoCapacity, "no-capacity"},
    CodeName {ResultCode::DeadlineUnreachable, "deadline-unreachable"},
    CodeName {ResultCode::AccountStreamLimit, "account-stream-limit"},
    CodeName {ResultCode::ShuttingDown, "shutting-down"},
    CodeName {ResultCode::NotReady, "not-ready"},
    CodeName {ResultCode::ViewOutdated, "view-outdated"},
    CodeName {ResultCode::StoreUnavailable, "store-unavailable"},
    CodeName {ResultCode::RetryBudgetSpent, "retry-budget-spent"},
    CodeName {ResultCode::NoEndpoint, "no-endpoint"},
    CodeName {ResultCode::PromptQuarantined, "prompt-quarantined"},
    CodeName {ResultCode::BackEndRefused, "back-end-refused"},
    CodeName {ResultCode::BackEndLost, "back-end-lost"},
    CodeName {ResultCode::GenerationLost, "generation-lost"},
    CodeName {ResultCode::BackEndTimeout, "back-end-timeout"},
    CodeName {ResultCode::OutcomeUnknown, "outcome-unknown"},
    CodeName {ResultCode::BackEndProtocol, "back-end-protocol"},
    CodeName {ResultCode::Cancelled, "cancelled"},
    CodeName {ResultCode::ClaimInProgress, "claim-in-progress"},
    CodeName {ResultCode::ClaimOutcomeUnknown, "claim-outcome-unknown"},
    CodeName {ResultCode::ClaimExpired, "claim-expired"},
    CodeName {ResultCode::ConfigSyntax, "config-syntax"},
    CodeName {ResultCode::ConfigUnknownKey, "config-unknown-key"},
    CodeName {ResultCode::ConfigBadValue, "config-bad-value"},
    CodeName {ResultCode::ConfigMissing, "config-missing"},
    CodeName {ResultCode::ConfigConflict, "config-conflict"},
    CodeName {ResultCode::ConfigVersionConflict, "config-version-conflict"},
    CodeName {ResultCode::ConfigTooLarge, "config-too-large"},
    CodeName {ResultCode::StoreTimeout, "store-timeout"},
    CodeName {ResultCode::StoreConflict, "store-conflict"},
    CodeName {ResultCode::StoreNotFound, "store-not-found"},
    CodeName {ResultCode::StoreProtocol, "store-protocol"},
    CodeName {ResultCode::LinkClosed, "link-closed"},
    CodeName {ResultCode::LinkSilent, "link-silent"},
    CodeName {ResultCode::MessageMalformed, "message-malformed"},
    CodeName {ResultCode::MessageVersionUnknown, "message-version-unknown"},
    CodeName {ResultCode::ConnectFailed, "connect-failed"},
    CodeName {ResultCode::LeaseLost, "lease-lost"},
    CodeName {ResultCode::FenceOutdated, "fence-outdated"},
    CodeName {ResultCode::SettingsInvalid, "settings-invalid"},
    CodeName {ResultCode::AddressInUse, "address-in-use"},
    CodeName {ResultCode::FileUnreadable, "file-unreadable"},
    CodeName {ResultCode::SettingsIncomplete, "settings-incomplete"},
    CodeName {ResultCode::AddressUnavailable, "address-unavailable"},
    CodeName {ResultCode::Internal, "internal"},
};

} // namespace

std::string_view toString(ResultCode code) noexcept
{
    const auto it = std::find_if(codeNames.begin(), codeNames.end(),
                                 [code](const CodeName &entry) { return entry.code == code; });
    return it == codeNames.end() ? std::string_view {"unnumbered"} : it->name;
}

std::string_view toString(RunState state) noexcept
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace fescue
