#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_set>

namespace fescue::net {

class ServerConnection;

// The open connections of one worker, by the IP number of their peers. Decides whose connection
// makes room for that of another peer.
class ConnectionTable
{
public:
    using Group = std::unordered_set<ServerConnection *>;

    void insert(const std::string &ip, ServerConnection *connection)
    {
        m_groups[ip].insert(connection);
    }
    void erase(const std::string &ip, ServerConnection *connection)
    {
        const auto it = m_groups.find(ip);
        if (it == m_groups.end())
            return;
        it->second.erase(connection);
        if (it->second.empty())
            m_groups.erase(it);
    }
    [[nodiscard]] const std::map<std::string, Group> &groups() const noexcept { return m_groups; }

    // Returns the connections of the peer that has most of them, where a peer that has at most half
    // as many is to get one more; nullptr otherwise.
    [[nodiscard]] const Group *largestBeside(const std::string &ip) const
    {
        const Group *largest = nullptr;
        for (const std::pair<const std::string, Group> &entry : m_groups) {
            if (largest == nullptr || entry.second.size() > largest->size())
                largest = &entry.second;
        }
        const auto own = m_groups.find(ip);
        const std::size_t ownCount = own != m_groups.end() ? own->second.size() : 0;
        return largest != nullptr && ownCount < largest->size() / 2 ? largest : nullptr;
    }

private:
    std::map<std::string, Group> m_groups;
};

} // namespace fescue::net
