#pragma once

#include "fescue/core/ids.h"
#include "fescue/policy/request.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace fescue {

// Queue of one service, fair among accounts. Each account has a counter of tokens received,
// divided by its weight; the account with the lowest counter goes first. Accounts are charged for
// tokens as they appear, so fairness needs no forecast of the output length.
class FairQueue
{
public:
    // Sets the share of an account under contention. Weights must be positive; the default is 1.
    void setWeight(const AccountName &account, double weight);
    void push(const AccountName &account, RequestId id);
    // Puts a request back in front of its account's other requests.
    void pushFront(const AccountName &account, RequestId id);
    // Charges an account for work, in tokens.
    void charge(const AccountName &account, std::uint64_t tokens);
    // Accounts with queued requests, the one to serve next first.
    [[nodiscard]] std::vector<AccountName> order() const;
    // The oldest request of an account.
    [[nodiscard]] std::optional<RequestId> front(const AccountName &account) const;
    // Removes the oldest request of an account, which starts to run.
    void popFront(const AccountName &account);
    // A request that was removed by popFront() no longer runs.
    void runningEnded(const AccountName &account);
    // Sum of the weights of the accounts with queued requests.
    [[nodiscard]] double queuedWeight() const;
    // Part of the running requests that belong to accounts with none queued; 0 where none run.
    [[nodiscard]] double settledPart() const;
    // Removes a request from wherever it is. Returns false where it is not queued.
    bool remove(const AccountName &account, RequestId id);

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    [[nodiscard]] bool empty() const noexcept { return m_size == 0; }
    // Number of queued requests that are expected to be served before a new one of the account, if
    // each costs what requests cost on average.
    [[nodiscard]] std::size_t aheadOfNew(const AccountName &account) const;

private:
    struct AccountState
    {
        double counter = 0;
        double weight = 1;
        std::uint32_t running = 0;
        std::deque<RequestId> queue;
    };

    // An account that was idle does not keep what it did not use in the meantime.
    void liftToActive(AccountState &state);
    [[nodiscard]] double activeFloor() const;
    // Mean tokens for each request served of late.
    [[nodiscard]] double meanCost() const;

    std::map<AccountName, AccountState> m_accounts;
    std::size_t m_size = 0;
    // Greatest counter at which a request was served; the floor for idle accounts.
    double m_servedAt = 0;
    double m_chargedTokens = 0;
    double m_served = 0;
};

} // namespace fescue
