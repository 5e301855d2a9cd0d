#include "fescue/serving/storemirror.h"

namespace fescue::serving {

bool StoreMirror::isNews(const net::StoreItem &item) const
{
    const auto it = m_revisions.find(item.key);
    return it == m_revisions.end() || it->second < item.revision;
}

void StoreMirror::beginListing()
{
    m_missing.clear();
    for (const std::pair<const std::string, net::StoreRevision> &entry : m_revisions)
        m_missing.insert(entry.first);
}

std::vector<StoreChange> StoreMirror::addPage(const std::vector<net::StoreItem> &items)
{
    for (const net::StoreItem &item : items)
        m_missing.erase(item.key);
    return apply(items);
}

std::vector<StoreChange> StoreMirror::endListing()
{
    std::vector<StoreChange> changes;
    for (const std::string &key : m_missing) {
        m_revisions.erase(key);
        changes.push_back({key, {}, {}, true});
    }
    m_missing.clear();
    return changes;
}

std::vector<StoreChange> StoreMirror::apply(const std::vector<net::StoreItem> &items)
{
    std::vector<StoreChange> changes;
    for (const net::StoreItem &item : items) {
        if (!isNews(item))
            continue;
        if (item.deleted)
            m_revisions.erase(item.key);
        else
            m_revisions[item.key] = item.revision;
        changes.push_back({item.key, item.value, item.revision, item.deleted});
    }
    return changes;
}

} // namespace fescue::serving
