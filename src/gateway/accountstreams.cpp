#include "fescue/gateway/accountstreams.h"

#include <utility>

namespace fescue::gateway {

StreamTicket::StreamTicket(AccountStreams &streams, AccountName account) noexcept
    : m_streams(&streams), m_account(std::move(account))
{ }

StreamTicket::~StreamTicket()
{
    if (m_streams != nullptr)
        m_streams->close(m_account);
}

StreamTicket::StreamTicket(StreamTicket &&other) noexcept
    : m_streams(std::exchange(other.m_streams, nullptr)), m_account(std::move(other.m_account))
{ }

std::optional<StreamTicket> AccountStreams::open(const AccountName &account, std::uint32_t limit)
{
    const std::lock_guard lock(m_mutex);
    std::uint32_t &n = m_open[account];
    if (n >= limit) {
        if (n == 0)
            m_open.erase(account);
        return std::nullopt;
    }
    ++n;
    ++m_total;
    return std::make_optional<StreamTicket>(*this, account);
}

std::size_t AccountStreams::total() const
{
    const std::lock_guard lock(m_mutex);
    return m_total;
}

void AccountStreams::close(const AccountName &account) noexcept
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_open.find(account);
    if (it == m_open.end())
        return;
    --m_total;
    if (--it->second == 0)
        m_open.erase(it);
}

} // namespace fescue::gateway
