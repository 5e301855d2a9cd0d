#pragma once

#include "fescue/core/memberinfo.h"
#include "fescue/net/storeclient.h"
#include "fescue/node/nodecontrol.h"

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace fescue::node {

// The leased key of this daemon in the store. Belongs to the control worker.
class Registration
{
public:
    // Called with the time at which the request was sent.
    using LeaseCallback = std::function<void(LeaseChange, Millis)>;

    Registration(net::StoreClient store, MemberInfo self, std::string httpAddress, Millis ttl,
                 LeaseCallback onLease)
        : m_store(std::move(store)), m_self(std::move(self)), m_httpAddress(std::move(httpAddress)),
          m_ttl(ttl), m_onLease(std::move(onLease))
    { }

    // Creates or renews the lease, and writes the key where it is missing or outdated. False where
    // the store did not answer or another process has the name.
    bool keep(Millis now);

    // Makes the next keep() write the key with the mark.
    void setLeaving()
    {
        m_self.leaving = true;
        m_written = false;
    }

    // Gives up the lease, which deletes the key.
    void release();

    [[nodiscard]] net::LeaseId lease() const noexcept { return m_lease; }
    // True once the store has confirmed the key with the mark.
    [[nodiscard]] bool leavingConfirmed() const noexcept { return m_written && m_self.leaving; }
    // True where a later start of a process with the same name has taken the key.
    [[nodiscard]] bool superseded() const noexcept { return m_superseded; }
    [[nodiscard]] const MemberInfo &self() const noexcept { return m_self; }

private:
    bool renew(Millis now);
    bool writeKey();
    bool takeOver(std::string_view key, std::string_view value);

    net::StoreClient m_store;
    MemberInfo m_self;
    std::string m_httpAddress;
    Millis m_ttl;
    LeaseCallback m_onLease;
    net::LeaseId m_lease;
    bool m_written = false;
    bool m_superseded = false;
};

} // namespace fescue::node
