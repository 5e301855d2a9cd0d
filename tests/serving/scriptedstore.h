#pragma once

#include "fescue/net/httpclient.h"
#include "fescue/net/storeclient.h"
#include "fescue/net/storeera.h"
#include "fescue/net/workerpool.h"
#include "tests/serving/testprotocol.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::test {

// A store in memory that can be restored from an older copy. All calls are made on one worker.
class ScriptedStore
{
public:
    struct Contents
    {
        std::map<std::string, net::StoreItem> items;
        std::set<std::uint64_t> leases;
        std::uint64_t revision = 1;
        std::uint64_t lastLease = 0;
    };

    void put(const std::string &key, std::string value)
    {
        contents.items[key] = {key, std::move(value), {++contents.revision, era}, false};
        changes.push_back(contents.items[key]);
    }

    void remove(const std::string &key)
    {
        if (contents.items.erase(key) > 0)
            changes.push_back({key, {}, {++contents.revision, era}, true});
    }

    // Restores earlier contents and begins a new era.
    void rewind(const Contents &older)
    {
        contents = older;
        ++era;
        for (std::pair<const std::string, net::StoreItem> &entry : contents.items)
            entry.second.revision.era = era;
        changes.clear();
        historyFrom = contents.revision;
    }

    Contents contents;
    std::vector<net::StoreItem> changes;
    std::uint64_t historyFrom = 0;
    std::uint64_t era = 1;
    bool rejectsCalls = false;
    // The error of rejected calls.
    ResultCode rejection = ResultCode::StoreUnavailable;
    // Calls to list the store with a shorter timeout than this fail with StoreTimeout.
    Millis listTime {0};
    // Number of next calls that end with an exception.
    int callsThatThrow = 0;
    // Maximum number of items in one page.
    std::size_t pageItems = 100;
    // Called once, after the next page has been read.
    std::function<void()> afterPage;
    std::vector<std::uint64_t> renewed;
    // Timeouts of the calls that listed the store, the oldest first.
    std::vector<Millis> listTimeouts;

    // The store that ScriptedStoreClient calls.
    static inline ScriptedStore *current = nullptr;

    // Called at the begin of each call.
    void throwIfScripted()
    {
        if (callsThatThrow > 0) {
            --callsThatThrow;
            throw std::runtime_error("scripted");
        }
    }
};

// Client of the current ScriptedStore.
class ScriptedStoreClient
{
public:
    struct Page
    {
        std::vector<net::StoreItem> items;
        net::StoreRevision at;
        bool hasMore = false;
    };

    ScriptedStoreClient(net::HttpClient &, net::StoreEraTracker &eras, const net::Address &, Millis)
        : m_eras(&eras)
    { }

    [[nodiscard]] net::StoreResult<Page> listPage(std::string_view, std::string_view after,
                                                  Millis timeout) const
    {
        ScriptedStore &store = *ScriptedStore::current;
        store.listTimeouts.push_back(timeout);
        store.throwIfScripted();
        if (store.rejectsCalls)
            return refuse(store.rejection);
        if (timeout < store.listTime)
            return refuse(ResultCode::StoreTimeout);
        Page page;
        page.at = {store.contents.revision, store.era};
        for (const std::pair<const std::string, net::StoreItem> &entry : store.contents.items) {
            if (entry.first <= after)
                continue;
            page.hasMore = page.items.size() >= store.pageItems;
            if (page.hasMore)
                break;
            page.items.push_back(entry.second);
        }
        trackEra();
        if (store.afterPage)
            std::exchange(store.afterPage, nullptr)();
        return page;
    }

    [[nodiscard]] net::StoreResult<net::StoreList> watch(std::string_view, net::StoreRevision after,
                                                         Millis) const
    {
        ScriptedStore &store = *ScriptedStore::current;
        store.throwIfScripted();
        net::sleepFor(5_ms);
        if (store.rejectsCalls)
            return refuse(store.rejection);
        trackEra();
        if (after.value < store.historyFrom || after.value > store.contents.revision)
            return refuse(ResultCode::StoreNotFound);
        net::StoreList list {{store.contents.revision, store.era}, {}};
        for (const net::StoreItem &change : store.changes) {
            if (change.revision.value > after.value)
                list.items.push_back(change);
        }
        return list;
    }

    [[nodiscard]] net::StoreResult<net::StoreRevision>
    put(std::string_view key, std::string_view value, net::LeaseId lease) const
    {
        ScriptedStore &store = *ScriptedStore::current;
        store.throwIfScripted();
        if (store.rejectsCalls)
            return refuse(store.rejection);
        trackEra();
        if (!store.contents.leases.contains(lease.value))
            return refuse(ResultCode::StoreNotFound);
        store.put(std::string(key), std::string(value));
        return net::StoreRevision {store.contents.revision, store.era};
    }

    [[nodiscard]] net::StoreResult<net::StoreRevision>
    putIfMatch(std::string_view key, std::string_view value, net::StoreRevision expected) const
    {
        ScriptedStore &store = *ScriptedStore::current;
        store.throwIfScripted();
        if (store.rejectsCalls)
            return refuse(store.rejection);
        trackEra();
        const auto it = store.contents.items.find(std::string(key));
        const std::uint64_t current =
            it == store.contents.items.end() ? 0 : it->second.revision.value;
        if (current != expected.value)
            return refuse(ResultCode::StoreConflict);
        store.put(std::string(key), std::string(value));
        return net::StoreRevision {store.contents.revision, store.era};
    }

    [[nodiscard]] net::StoreResult<net::LeaseId> createLease(Millis) const
    {
        ScriptedStore &store = *ScriptedStore::current;
        store.throwIfScripted();
        if (store.rejectsCalls)
            return refuse(store.rejection);
        trackEra();
        store.contents.leases.insert(++store.contents.lastLease);
        return net::LeaseId {store.contents.lastLease};
    }

    [[nodiscard]] net::StoreResult<void> renewLease(net::LeaseId lease) const
    {
        ScriptedStore &store = *ScriptedStore::current;
        store.throwIfScripted();
        if (store.rejectsCalls)
            return refuse(store.rejection);
        trackEra();
        store.renewed.push_back(lease.value);
        if (!store.contents.leases.contains(lease.value))
            return refuse(ResultCode::StoreNotFound);
        return {};
    }

private:
    static tl::unexpected<net::StoreError> refuse(ResultCode code)
    {
        return tl::unexpected(net::StoreError {{code, "scripted"}, {}});
    }

    void trackEra() const { static_cast<void>(m_eras->take(ScriptedStore::current->era)); }

    net::StoreEraTracker *m_eras;
};

// Protocol of tests with a store. The value of a configuration is its version number, that of an
// endpoint is its state.
struct StoreProtocol : TestProtocol
{
    using Store = ScriptedStoreClient;

    static serving::StoreSubject classifyKey(std::string_view key)
    {
        constexpr std::string_view zones = "zones-out/";
        constexpr std::string_view endpoints = "endpoints/";
        if (key == "config")
            return {serving::StoreSubjectKind::Config, {}};
        if (key.starts_with(zones))
            return {serving::StoreSubjectKind::ZoneOut, std::string(key.substr(zones.size()))};
        if (key.starts_with(endpoints))
            return {serving::StoreSubjectKind::Endpoint, std::string(key.substr(endpoints.size()))};
        return {serving::StoreSubjectKind::Other, std::string(key)};
    }

    static Result<serving::ServingConfig> decodeConfig(std::string_view value)
    {
        serving::ServingConfig config;
        std::from_chars(value.data(), value.data() + value.size(), config.version.value);
        return config;
    }

    static Result<serving::EndpointRecord> decodeEndpoint(const EndpointName &name,
                                                          std::string_view value)
    {
        if (value == "throws")
            throw std::runtime_error("scripted");
        serving::EndpointRecord record;
        record.name = name;
        record.service = ServiceName("service");
        record.incarnation = {1};
        record.draining = value == "leaving";
        return record;
    }
};

static_assert(serving::PlatformProtocol<StoreProtocol>);

} // namespace fescue::test
