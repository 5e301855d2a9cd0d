#pragma once

#include "fescue/net/httpclient.h"

#include <atomic>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::net {

// Position in the store's sequence of changes; 0 means absent. A store that was restored from an
// older copy gives revisions out again, so those of a later era are later whatever their numbers.
struct StoreRevision
{
    std::uint64_t value = 0;
    // Counts the restores of the store; 0 where it tells none.
    std::uint64_t era = 0;

    friend constexpr bool operator==(const StoreRevision &,
                                     const StoreRevision &) noexcept = default;
    friend constexpr std::strong_ordering operator<=>(const StoreRevision &a,
                                                      const StoreRevision &b) noexcept
    {
        const std::strong_ordering eras = a.era <=> b.era;
        return eras != 0 ? eras : a.value <=> b.value;
    }
};

// A lease of the store; 0 means none.
struct LeaseId
{
    std::uint64_t value = 0;
    auto operator<=>(const LeaseId &) const noexcept = default;
};

struct StoreItem
{
    std::string key;
    std::string value;
    StoreRevision revision;
    // Watches only: the key is gone, and value is empty.
    bool deleted = false;
};

struct StoreList
{
    StoreRevision revision;
    std::vector<StoreItem> items;
};

// A failed call of the store.
//
// ConnectFailed: the call was not sent. StoreTimeout: the outcome is unknown; a write may have
// taken effect, or may yet. StoreConflict: the condition did not hold. StoreNotFound: no such key
// or lease. StoreUnavailable: the store refused the call. StoreProtocol: an answer that does not
// make sense; the outcome is unknown.
struct StoreError : Error
{
    // With StoreConflict: the key's current revision, 0 where it is absent.
    StoreRevision current;
};

template <typename T>
using StoreResult = tl::expected<T, StoreError>;

// Calls that one part of the program made.
struct CallCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
};

// Counts calls of the store for one cause. Callable from any thread.
class CallCounter
{
public:
    void addRead() noexcept { m_reads.fetch_add(1, std::memory_order_relaxed); }
    void addWrite() noexcept { m_writes.fetch_add(1, std::memory_order_relaxed); }
    void addWatch() noexcept { m_watches.fetch_add(1, std::memory_order_relaxed); }
    void addFailure() noexcept { m_failures.fetch_add(1, std::memory_order_relaxed); }
    [[nodiscard]] CallCounts counts() const noexcept
    {
        return {m_reads.load(std::memory_order_relaxed), m_writes.load(std::memory_order_relaxed),
                m_watches.load(std::memory_order_relaxed),
                m_failures.load(std::memory_order_relaxed)};
    }

private:
    std::atomic<std::uint64_t> m_reads {0};
    std::atomic<std::uint64_t> m_writes {0};
    std::atomic<std::uint64_t> m_watches {0};
    std::atomic<std::uint64_t> m_failures {0};
};

// A client of the platform's key-value service for one cause of calls. Makes each call once: no
// call is repeated here, since a write whose answer was lost may have taken effect. Light to copy;
// the HTTP client and the counter must outlive it.
class StoreClient
{
public:
    StoreClient(HttpClient &client, Address address, CallCounter &counter, Millis timeout = 1_s)
        : m_client(&client), m_address(std::move(address)), m_counter(&counter), m_timeout(timeout)
    { }

    [[nodiscard]] StoreResult<StoreItem> get(std::string_view key) const;
    // All keys with a prefix, and the revision at which they were read.
    [[nodiscard]] StoreResult<StoreList> list(std::string_view prefix) const;
    [[nodiscard]] StoreResult<StoreRevision> put(std::string_view key, std::string_view value,
                                                 LeaseId lease = {}) const;
    [[nodiscard]] StoreResult<StoreRevision>
    putIfAbsent(std::string_view key, std::string_view value, LeaseId lease = {}) const;
    [[nodiscard]] StoreResult<StoreRevision> putIfMatch(std::string_view key,
                                                        std::string_view value,
                                                        StoreRevision revision,
                                                        LeaseId lease = {}) const;
    // Deletes a key, where a revision is given only at that revision.
    [[nodiscard]] StoreResult<void> remove(std::string_view key,
                                           std::optional<StoreRevision> revision = {}) const;

    [[nodiscard]] StoreResult<LeaseId> createLease(Millis ttl) const;
    // Fails with StoreNotFound where the lease has lapsed.
    [[nodiscard]] StoreResult<void> renewLease(LeaseId lease) const;
    [[nodiscard]] StoreResult<void> revokeLease(LeaseId lease) const;

    // Waits for changes after a revision. Returns at once where there are some, else after the
    // wait with no items and the store's revision.
    [[nodiscard]] StoreResult<StoreList> watch(std::string_view prefix, StoreRevision after,
                                               Millis wait) const;

private:
    [[nodiscard]] StoreResult<std::string> call(HttpRequest request, Millis timeout) const;
    [[nodiscard]] StoreResult<StoreRevision> putWith(std::string_view key, std::string_view value,
                                                     LeaseId lease,
                                                     std::vector<Header> condition) const;

    HttpClient *m_client;
    Address m_address;
    CallCounter *m_counter;
    Millis m_timeout;
};

} // namespace fescue::net
