#pragma once

#include "fescue/net/storeclient.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescue::serving {

// A key that was written or removed, as reported by a listing or a watch.
struct StoreChange
{
    std::string key;
    std::string value;
    net::StoreRevision revision;
    bool removed = false;
    // True if the change was found by comparing a listing with the mirror, not reported as a
    // change.
    bool fromListing = false;
};

// This process' copy of the store's keys. Computes the changes that a paged listing brings,
// although keys may be written between two of its pages, and never applies an older state of a key.
// A listing of a later era replaces everything, also by older values.
class StoreMirror
{
public:
    // Begins a listing. No changes may be applied until it ends.
    void beginListing();
    // Applies one page and returns the keys that are new or changed.
    [[nodiscard]] std::vector<StoreChange> addPage(const std::vector<net::StoreItem> &items);
    // Ends the listing; removes and returns the keys that no page had.
    [[nodiscard]] std::vector<StoreChange> endListing();

    // Applies the changes of a watch and returns those that are newer than the mirror.
    [[nodiscard]] std::vector<StoreChange> apply(const std::vector<net::StoreItem> &items);

    // Returns all keys with their values.
    [[nodiscard]] std::vector<net::StoreItem> items() const;
    // Returns the item of a key, or null if the store has none.
    [[nodiscard]] const net::StoreItem *find(const std::string &key) const;

private:
    [[nodiscard]] bool isNewer(const net::StoreItem &item) const;

    std::map<std::string, net::StoreItem> m_items;
    std::set<std::string> m_missing;
};

} // namespace fescue::serving
