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

// Weighted fair queue of one service. Each account has a counter of tokens received, divided by its
// weight; the account with the lowest counter is served first. Accounts are charged for tokens as
// they are produced, so fairness needs no forecast of the output length.
class FairQueue
{
public:
    // Sets the share of an account under contention. Weights must be positive; the default is 1.
    void setWeight(const AccountName &account, double weight);
    void push(const AccountName &account, RequestId id);
    // Requeues a request before its account's other requests.
    void pushFront(const AccountName &account, RequestId id);
    // Charges an account for work, in tokens.
    void charge(const AccountName &account, std::uint64_t tokens);
    // Returns the accounts with queued requests in the order in which they are to be served.
    [[nodiscard]] std::vector<AccountName> order() const;
    // Returns the first queued request of an account, or nullopt if it has none.
    [[nodiscard]] std::optional<RequestId> front(const AccountName &account) const;
    // Returns the queued requests of an account in their order.
    [[nodiscard]] std::vector<RequestId> queued(const AccountName &account) const;
    // Removes the first queued request of an account and counts it as running.
    void popFront(const AccountName &account);
    // The same for a queued request at any position. Nothing happens if it is not queued.
    void pop(const AccountName &account, RequestId id);
    // Records that a request removed by pop() or popFront() has stopped running.
    void runningEnded(const AccountName &account);
    // Returns the sum of the weights of the accounts with queued requests.
    [[nodiscard]] double queuedWeight() const;
    // Returns the fraction of the running requests that belong to accounts with none queued; 0 if
    // none run.
    [[nodiscard]] double uncontendedShare() const;
    // Removes a request from any position. Returns false if it is not queued.
    bool remove(const AccountName &account, RequestId id);

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    [[nodiscard]] bool empty() const noexcept { return m_size == 0; }
    // Returns the expected number of queued requests that are served before a new one of the
    // account, if each has the mean cost.
    [[nodiscard]] std::size_t aheadOfNew(const AccountName &account) const;

private:
    struct AccountState
    {
        double counter = 0;
        double weight = 1;
        std::uint32_t running = 0;
        std::deque<RequestId> queue;
    };

    // Raises the counter of an account without queued requests to the active floor, so that idle
    // time gives it no advantage over accounts that stayed active.
    void raiseToActiveFloor(AccountState &state);
    [[nodiscard]] double activeFloor() const;
    // Returns the mean number of tokens charged per recently served request.
    [[nodiscard]] double meanCost() const;

    std::map<AccountName, AccountState> m_accounts;
    std::size_t m_size = 0;
    // Greatest counter at which a request was served; upper bound of the floor for idle accounts.
    double m_maxServedCounter = 0;
    double m_chargedTokens = 0;
    double m_servedRequests = 0;
};

} // namespace fescue
