#pragma once

#include "fescue/core/clock.h"
#include "fescue/core/ids.h"

#include <map>
#include <span>
#include <vector>

namespace fescue::serving {

// Prompt tokens that an account has recently sent to the engines of all services.
struct AccountUseEntry
{
    AccountName account;
    double tokens = 0;
    bool operator==(const AccountUseEntry &) const = default;
};

// Recent use of the engines by each client account, from this process and, as last reported, from
// its peers. Use decays, so that a share is one of the last seconds.
class AccountUse
{
public:
    // A peer's report counts for this long; peers send several reports within it.
    static constexpr Millis peerLifetime {1500};

    // Records that a generation of an account has been sent to an engine.
    void record(Millis now, const AccountName &account, std::uint64_t tokens);
    // Replaces the last report of a peer.
    void peerReported(Millis now, const MemberName &peer, std::vector<AccountUseEntry> use);
    // Returns the use from this process, the largest entries first, to be reported to peers.
    [[nodiscard]] std::vector<AccountUseEntry> own(Millis now) const;
    // Returns the use of an account as a multiple of the mean over all accounts with recent use; 1
    // if there is no other account.
    [[nodiscard]] double shareRatio(Millis now, const AccountName &account) const;

private:
    struct Decaying
    {
        double tokens = 0;
        Millis at {0};
    };
    struct Report
    {
        std::vector<AccountUseEntry> use;
        Millis at {0};
    };

    [[nodiscard]] static double valueAt(Millis now, const Decaying &use);

    std::map<AccountName, Decaying> m_own;
    std::map<MemberName, Report> m_peers;
};

} // namespace fescue::serving
