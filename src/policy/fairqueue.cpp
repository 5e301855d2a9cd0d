#include "fescue/policy/fairqueue.h"

#include <algorithm>

namespace fescue {

void FairQueue::setWeight(const AccountName &account, double weight)
{
    if (weight > 0)
        m_accounts[account].weight = weight;
}

void FairQueue::liftToActive(AccountState &state)
{
    if (!state.queue.empty())
        return;
    double floor = m_servedAt;
    for (const std::pair<const AccountName, AccountState> &entry : m_accounts) {
        if (!entry.second.queue.empty())
            floor = std::min(floor, entry.second.counter);
    }
    state.counter = std::max(state.counter, floor);
}

void FairQueue::push(const AccountName &account, RequestId id)
{
    AccountState &state = m_accounts[account];
    liftToActive(state);
    state.queue.push_back(id);
    ++m_size;
}

void FairQueue::pushFront(const AccountName &account, RequestId id)
{
    AccountState &state = m_accounts[account];
    liftToActive(state);
    state.queue.push_front(id);
    ++m_size;
}

void FairQueue::charge(const AccountName &account, std::uint64_t tokens)
{
    AccountState &state = m_accounts[account];
    state.counter += static_cast<double>(tokens) / state.weight;
}

std::vector<AccountName> FairQueue::order() const
{
    struct Waiting
    {
        double counter;
        const AccountName *account;
    };
    std::vector<Waiting> waiting;
    for (const std::pair<const AccountName, AccountState> &entry : m_accounts) {
        if (!entry.second.queue.empty())
            waiting.push_back({entry.second.counter, &entry.first});
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const Waiting &a, const Waiting &b) { return a.counter < b.counter; });
    std::vector<AccountName> names;
    names.reserve(waiting.size());
    for (const Waiting &item : waiting)
        names.push_back(*item.account);
    return names;
}

std::optional<RequestId> FairQueue::front(const AccountName &account) const
{
    const auto it = m_accounts.find(account);
    if (it == m_accounts.end() || it->second.queue.empty())
        return std::nullopt;
    return it->second.queue.front();
}

void FairQueue::popFront(const AccountName &account)
{
    const auto it = m_accounts.find(account);
    if (it == m_accounts.end() || it->second.queue.empty())
        return;
    m_servedAt = std::max(m_servedAt, it->second.counter);
    it->second.queue.pop_front();
    --m_size;
}

bool FairQueue::remove(const AccountName &account, RequestId id)
{
    const auto it = m_accounts.find(account);
    if (it == m_accounts.end())
        return false;
    const std::size_t n = std::erase(it->second.queue, id);
    m_size -= n;
    return n > 0;
}

std::size_t FairQueue::aheadOfNew(const AccountName &account) const
{
    const auto own = m_accounts.find(account);
    const std::size_t ownLength = own == m_accounts.end() ? 0 : own->second.queue.size();
    std::size_t ahead = ownLength;
    for (const std::pair<const AccountName, AccountState> &entry : m_accounts) {
        if (entry.first != account)
            ahead += std::min(entry.second.queue.size(), ownLength + 1);
    }
    return ahead;
}

} // namespace fescue
