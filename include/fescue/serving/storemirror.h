#pragma once

#include "fescue/net/storeclient.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescue::serving {

// A key that was written or removed, as told by a listing or a watch.
struct StoreChange
{
    std::string key;
    std::string value;
    net::StoreRevision revision;
    bool removed = false;
    // Found by comparing a listing with what was known, not told as a change by itself.
    bool fromListing = false;
};

// The keys of the store as this process knows them. Finds out what a listing in pages changes,
// although keys may be written between two of its pages, and never takes over an older state of a
// key. A listing of a later era replaces all that is known, also by older values.
class StoreMirror
{
public:
    // Begins a listing. Changes that arrive meanwhile are not expected.
    void beginListing();
    // Takes one page and returns the keys that are new or changed.
    [[nodiscard]] std::vector<StoreChange> addPage(const std::vector<net::StoreItem> &items);
    // Ends the listing and returns the keys that no page had.
    [[nodiscard]] std::vector<StoreChange> endListing();

    // Takes the changes of a watch and returns those that are news.
    [[nodiscard]] std::vector<StoreChange> apply(const std::vector<net::StoreItem> &items);

    // All keys with their values.
    [[nodiscard]] std::vector<net::StoreItem> items() const;

private:
    [[nodiscard]] bool isNews(const net::StoreItem &item) const;

    std::map<std::string, net::StoreItem> m_items;
    std::set<std::string> m_missing;
};

} // namespace fescue::serving
