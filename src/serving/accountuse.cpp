#include "fescue/serving/accountuse.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescue::serving {

namespace {

// Time constant of the decay.
constexpr double useMillis = 3000;
// Use below this many tokens no longer counts.
constexpr double minTokens = 50;
// Bounds the datagram; accounts with less use hardly matter for the shares.
constexpr std::size_t maxReported = 32;

} // namespace

double AccountUse::valueAt(Millis now, const Decaying &use)
{
    return use.tokens * std::exp(-static_cast<double>((now - use.at).count) / useMillis);
}

void AccountUse::record(Millis now, const AccountName &account, std::uint64_t tokens)
{
    std::erase_if(m_own, [now](const std::pair<const AccountName, Decaying> &entry) {
        return valueAt(now, entry.second) < minTokens;
    });
    Decaying &use = m_own[account];
    use = {valueAt(now, use) + static_cast<double>(tokens), now};
}

void AccountUse::peerReported(Millis now, const MemberName &peer, std::vector<AccountUseEntry> use)
{
    std::erase_if(m_peers, [now](const std::pair<const MemberName, Report> &entry) {
        return now - entry.second.at > peerLifetime;
    });
    m_peers[peer] = {std::move(use), now};
}

std::vector<AccountUseEntry> AccountUse::own(Millis now) const
{
    std::vector<AccountUseEntry> entries;
    for (const std::pair<const AccountName, Decaying> &use : m_own) {
        const double tokens = valueAt(now, use.second);
        if (tokens >= minTokens)
            entries.push_back({use.first, std::round(tokens)});
    }
    std::stable_sort(
        entries.begin(), entries.end(),
        [](const AccountUseEntry &a, const AccountUseEntry &b) { return a.tokens > b.tokens; });
    entries.resize(std::min(entries.size(), maxReported));
    return entries;
}

double AccountUse::shareRatio(Millis now, const AccountName &account) const
{
    std::map<AccountName, double> uses;
    for (const AccountUseEntry &entry : own(now))
        uses[entry.account] += entry.tokens;
    for (const std::pair<const MemberName, Report> &peer : m_peers) {
        if (now - peer.second.at > peerLifetime)
            continue;
        for (const AccountUseEntry &entry : peer.second.use)
            uses[entry.account] += entry.tokens;
    }
    double sum = 0;
    for (const std::pair<const AccountName, double> &use : uses)
        sum += use.second;
    const auto it = uses.find(account);
    if (uses.size() < 2 || it == uses.end() || sum <= 0)
        return 1;
    return it->second * static_cast<double>(uses.size()) / sum;
}

} // namespace fescue::serving
