#include "fescue/serving/storemirror.h"

namespace fescue::serving {

bool StoreMirror::isNewer(const net::StoreItem &item) const
{
    const auto it = m_items.find(item.key);
    return it == m_items.end() || it->second.revision < item.revision;
}

void StoreMirror::beginListing()
{
    m_missing.clear();
    for (const std::pair<const std::string, net::StoreItem> &entry : m_items)
        m_missing.insert(entry.first);
}

std::vector<StoreChange> StoreMirror::addPage(const std::vector<net::StoreItem> &items)
{
    for (const net::StoreItem &item : items)
        m_missing.erase(item.key);
    std::vector<StoreChange> changes = apply(items);
    for (StoreChange &change : changes)
        change.fromListing = true;
    return changes;
}

std::vector<StoreChange> StoreMirror::endListing()
{
    std::vector<StoreChange> changes;
    for (const std::string &key : m_missing) {
        m_items.erase(key);
        changes.push_back({key, {}, {}, true, true});
    }
    m_missing.clear();
    return changes;
}

std::vector<StoreChange> StoreMirror::apply(const std::vector<net::StoreItem> &items)
{
    std::vector<StoreChange> changes;
    for (const net::StoreItem &item : items) {
        if (!isNewer(item))
            continue;
        if (item.deleted)
            m_items.erase(item.key);
        else
            m_items[item.key] = item;
        changes.push_back({item.key, item.value, item.revision, item.deleted});
    }
    return changes;
}

const net::StoreItem *StoreMirror::find(const std::string &key) const
{
    const auto it = m_items.find(key);
    return it == m_items.end() ? nullptr : &it->second;
}

std::vector<net::StoreItem> StoreMirror::items() const
{
    std::vector<net::StoreItem> all;
    all.reserve(m_items.size());
    for (const std::pair<const std::string, net::StoreItem> &entry : m_items)
        all.push_back(entry.second);
    return all;
}

} // namespace fescue::serving
