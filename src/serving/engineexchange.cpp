#include "fescue/serving/engineexchange.h"

namespace fescue::serving {

SendOutcome outcomeOf(const Error &error) noexcept
{
    switch (error.code) {
    case ResultCode::ConnectFailed:
        return SendOutcome::NotSent;
    case ResultCode::Cancelled:
        return SendOutcome::CallerGone;
    case ResultCode::BackEndTimeout:
    case ResultCode::LinkSilent:
        return SendOutcome::TimedOut;
    default:
        return SendOutcome::Lost;
    }
}

} // namespace fescue::serving
