#pragma once

#include "fescue/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace fescue::gateway {

class AccountStreams;

// One open request of an account; the place is given back when the ticket is destroyed.
class StreamTicket
{
public:
    StreamTicket(AccountStreams &streams, AccountName account) noexcept;
    ~StreamTicket();
    StreamTicket(StreamTicket &&other) noexcept;
    StreamTicket &operator=(StreamTicket &&) = delete;
    StreamTicket(const StreamTicket &) = delete;
    StreamTicket &operator=(const StreamTicket &) = delete;

private:
    AccountStreams *m_streams;
    AccountName m_account;
};

// Counts the open requests of each account at this entry. Any thread may call it. Its lock is a
// leaf: no other lock is taken while it is held.
class AccountStreams
{
public:
    // Returns a ticket, or nothing where the account has `limit` requests open.
    [[nodiscard]] std::optional<StreamTicket> open(const AccountName &account, std::uint32_t limit);
    // Open requests of all accounts.
    [[nodiscard]] std::size_t total() const;

private:
    friend class StreamTicket;
    void close(const AccountName &account) noexcept;

    mutable std::mutex m_mutex;
    std::map<AccountName, std::uint32_t> m_open;
    std::size_t m_total = 0;
};

} // namespace fescue::gateway
