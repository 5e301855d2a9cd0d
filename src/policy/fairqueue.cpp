#include "fescue/policy/fairqueue.h"

#include <algorithm>

namespace fescue {

namespace {

// Number of served requests after which the weight of the earlier ones in the mean cost is halved.
constexpr double meanCostWindow = 256;

} // namespace

void FairQueue::setWeight(const AccountName &account, double weight)
{
    if (weight > 0)
        m_accounts[account].weight = weight;
}

double FairQueue::activeFloor() const
{
    double floor = m_maxServedCounter;
    for (const std::pair<const AccountName, AccountState> &entry : m_accounts) {
        if (!entry.second.queue.empty())
            floor = std::min(floor, entry.second.counter);
    }
    return floor;
}

void FairQueue::raiseToActiveFloor(AccountState &state)
{
    if (state.queue.empty())
        state.counter = std::max(state.counter, activeFloor());
}

double FairQueue::meanCost() const
{
    return m_servedRequests > 0 ? m_chargedTokens / m_servedRequests : 0;
}

void FairQueue::push(const AccountName &account, RequestId id)
{
    AccountState &state = m_accounts[account];
    raiseToActiveFloor(state);
    state.queue.push_back(id);
    ++m_size;
}

void FairQueue::pushFront(const AccountName &account, RequestId id)
{
    AccountState &state = m_accounts[account];
    raiseToActiveFloor(state);
    state.queue.push_front(id);
    ++m_size;
}

void FairQueue::charge(const AccountName &account, std::uint64_t tokens)
{
    AccountState &state = m_accounts[account];
    state.counter += static_cast<double>(tokens) / state.weight;
    m_chargedTokens += static_cast<double>(tokens);
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

std::vector<RequestId> FairQueue::queued(const AccountName &account) const
{
    const auto it = m_accounts.find(account);
    if (it == m_accounts.end())
        return {};
    return {it->second.queue.begin(), it->second.queue.end()};
}

void FairQueue::popFront(const AccountName &account)
{
    if (const std::optional<RequestId> id = front(account))
        pop(account, *id);
}

void FairQueue::pop(const AccountName &account, RequestId id)
{
    if (!remove(account, id))
        return;
    AccountState &state = m_accounts[account];
    m_maxServedCounter = std::max(m_maxServedCounter, state.counter);
    ++state.running;
    m_servedRequests += 1;
    if (m_servedRequests < meanCostWindow)
        return;
    m_servedRequests /= 2;
    m_chargedTokens /= 2;
}

void FairQueue::runningEnded(const AccountName &account)
{
    AccountState &state = m_accounts[account];
    state.running -= std::min<std::uint32_t>(1, state.running);
}

double FairQueue::queuedWeight() const
{
    double sum = 0;
    for (const std::pair<const AccountName, AccountState> &entry : m_accounts)
        sum += entry.second.queue.empty() ? 0 : entry.second.weight;
    return sum;
}

double FairQueue::uncontendedShare() const
{
    double uncontended = 0;
    double running = 0;
    for (const std::pair<const AccountName, AccountState> &entry : m_accounts) {
        running += entry.second.running;
        uncontended += entry.second.queue.empty() ? entry.second.running : 0;
    }
    return running > 0 ? uncontended / running : 0;
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
    const AccountState idle;
    const AccountState &state = own == m_accounts.end() ? idle : own->second;
    const double cost = meanCost();
    const double from =
        state.queue.empty() ? std::max(state.counter, activeFloor()) : state.counter;
    const double turn = from + static_cast<double>(state.queue.size()) * cost / state.weight;
    std::size_t ahead = state.queue.size();
    for (const std::pair<const AccountName, AccountState> &entry : m_accounts) {
        const AccountState &other = entry.second;
        if (entry.first == account || other.queue.empty() || other.counter >= turn)
            continue;
        const std::size_t queued = other.queue.size();
        const double turns = cost > 0 ? (turn - other.counter) * other.weight / cost + 1
                                      : static_cast<double>(queued);
        ahead += turns >= static_cast<double>(queued) ? queued : static_cast<std::size_t>(turns);
    }
    return ahead;
}

} // namespace fescue
