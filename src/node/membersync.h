#pragma once

#include "memberlog.h"

#include "fescue/core/membertable.h"
#include "fescue/net/storeclient.h"
#include "fescue/peer/messages.h"

#include <functional>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace fescue::node {

// Keeps the table of members up to date from the store, from what peers pass on of it, and from
// their heartbeats. Belongs to the control worker.
class MemberSync
{
public:
    // Sends a message to a peer.
    using Send = std::function<void(const MemberName &, const peer::Message &)>;

    MemberSync(net::StoreClient store, Send send)
        : m_store(std::move(store)), m_send(std::move(send))
    { }

    // Reads all member keys. False where the store did not answer.
    bool list(Millis now);

    // Waits for changes of member keys. False where the store did not answer.
    bool watch(Millis now, Millis wait);

    // Whether list() has to be called: at the start and after an outage of the store.
    [[nodiscard]] bool needsList() const noexcept { return m_needsList; }

    // Records that the store does not answer.
    void storeLost();

    // Records a heartbeat of a member, and asks it for changes that are not known here.
    void heartbeat(Millis now, const MemberInfo &member, std::uint64_t revision);
    void linkDown(Millis now, const MemberName &member);

    // Handles a question of a peer, and an answer to one of ours.
    void requested(const MemberName &from, const peer::MembersRequest &request);
    void received(Millis now, const peer::MembersBody &body);

    [[nodiscard]] MemberTable &table() noexcept { return m_table; }
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_log.revision(); }
    // True once the list of members has come from anywhere.
    [[nodiscard]] bool known() const noexcept { return m_known; }

private:
    void replaceAll(Millis now, std::vector<peer::MemberItem> items, std::uint64_t revision);
    void applyChanges(Millis now, std::span<const peer::MemberItem> items, std::uint64_t revision);

    net::StoreClient m_store;
    Send m_send;
    MemberTable m_table;
    MemberLog m_log;
    net::StoreRevision m_watched;
    bool m_known = false;
    bool m_needsList = true;
    bool m_storeOut = false;
    std::optional<Millis> m_askedAt;
};

} // namespace fescue::node
