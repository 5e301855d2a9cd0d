#include "registration.h"

#include "fescue/node/memberjson.h"

#include <string>

namespace fescue::node {

bool Registration::keep(Millis now)
{
    if (m_lease.value != 0 && !renew(now))
        return false;
    if (m_lease.value == 0) {
        const net::StoreResult<net::LeaseId> lease = m_store.createLease(m_ttl);
        if (!lease)
            return false;
        m_lease = *lease;
        m_written = false;
        m_onLease(LeaseChange::Granted, now);
    }
    return m_written || writeKey();
}

// False where the store did not answer. A lease that has lapsed is forgotten.
bool Registration::renew(Millis now)
{
    const net::StoreResult<void> renewed = m_store.renewLease(m_lease);
    if (renewed) {
        m_onLease(LeaseChange::Renewed, now);
        return true;
    }
    if (renewed.error().code != ResultCode::StoreNotFound)
        return false;
    m_lease = {};
    m_onLease(LeaseChange::Lost, now);
    return true;
}

bool Registration::writeKey()
{
    const std::string key = std::string(memberKeyPrefix) + m_self.name.text();
    const std::string value = toJson(m_self, m_httpAddress);
    // The mark may be set while a write without it is under way, which must not count then.
    const bool leaving = m_self.leaving;
    const net::StoreResult<net::StoreRevision> created = m_store.putIfAbsent(key, value, m_lease);
    const bool conflict = !created && created.error().code == ResultCode::StoreConflict;
    const bool landed = created || (conflict && takeOver(key, value));
    m_written = landed && leaving == m_self.leaving;
    return landed;
}

// Replaces the key of an earlier start of this daemon.
bool Registration::takeOver(std::string_view key, std::string_view value)
{
    const net::StoreResult<net::StoreItem> present = m_store.get(key);
    if (!present)
        return false;
    const Result<MemberInfo> holder = parseMember(present->value);
    m_superseded = holder && holder->incarnation > m_self.incarnation;
    if (m_superseded)
        return false;
    return m_store.putIfMatch(key, value, present->revision, m_lease).has_value();
}

void Registration::release()
{
    if (m_lease.value == 0)
        return;
    static_cast<void>(m_store.revokeLease(m_lease));
    m_lease = {};
}

} // namespace fescue::node
