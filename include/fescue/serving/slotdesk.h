#pragma once

#include "fescue/serving/servingstate.h"
#include "fescue/serving/silentmembers.h"
#include "fescue/serving/slotmessage.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace fescue::serving {

// Asks the broker of a service for the slots of this process' requests, and is the broker of the
// services that fall to it. The broker of a service is the first live member by rendezvous hashing
// that answers. Whatever fails on the way, a request is not held up for longer than a few tens of
// milliseconds: it is then sent without a slot. Runs on the one worker.
class SlotDesk
{
public:
    // Sends a datagram to a member. Returns false if that fails.
    using Send = std::function<bool(const MemberName &, const std::string &)>;

    // `incarnation` is this life of the process: answers to an earlier one are not taken.
    SlotDesk(ServingState &state, Incarnation incarnation, Send send)
        : m_state(&state), m_incarnation(incarnation), m_send(std::move(send))
    { }

    // Waits for a slot.
    [[nodiscard]] SlotGrant acquire(const SlotWish &wish);
    void giveBack(const ServiceName &service, const SlotGrant &grant, SlotUse use);
    // Handles a datagram. Returns false if it is malformed.
    bool handle(std::string_view bytes);
    // Reports to brokers what this process holds, takes back slots that were not given back in
    // time, and logs what has changed.
    void tick(Millis now);

private:
    // Pauses of a broker that did not answer.
    static constexpr BackoffLimits silentPauses {1_s, 16_s};

    // A request of this process that waits for an answer.
    struct Pending
    {
        std::optional<SlotAnswer> answer;
        bool changed = false;
        boost::fibers::mutex mutex;
        boost::fibers::condition_variable condition;
    };

    // The slots of a service that this process shares out, with the figures of the last log line.
    struct Brokered
    {
        SlotBroker broker;
        std::uint64_t granted = 0;
        std::uint64_t queued = 0;
        std::uint64_t refused = 0;
        std::uint64_t rejected = 0;
        Millis loggedAt {0};
        Millis endpointsAt {0};
    };

    // The requests of this process at a broker that wait or have a slot.
    struct Holding
    {
        std::set<std::uint64_t> numbers;
        // Reports still to be sent once there is none.
        int reportsLeft = 0;
    };

    // A broker as last chosen.
    struct Choice
    {
        std::optional<MemberName> member;
        Millis until {0};
    };

    // True for plain services with fewer slots than processes, of which no process can keep a part,
    // while they are under pressure: half of the slots are used, or an endpoint rejects requests.
    [[nodiscard]] bool isShared(const ServiceName &service);
    [[nodiscard]] std::optional<MemberName> brokerOf(const ServiceName &service);
    [[nodiscard]] Brokered &brokered(const ServiceName &service);
    // Passes a message to a member, which may be this process.
    void pass(const MemberName &to, const SlotMessage &message);
    void serve(const SlotMessage &message);
    // Returns true if a message about slots is of a known process, and not of an earlier life.
    [[nodiscard]] bool isFromMember(const SlotMessage &message) const;
    [[nodiscard]] SlotKey keyOf(std::uint64_t number) const;
    // Gives back a slot, or a request for one.
    void giveBack(const ServiceName &service, const MemberName &broker, const SlotReturn &returned);
    void reportHoldings();
    void deliver(const ServiceName &service, const std::vector<SlotAnswer> &answers);
    void receive(const SlotAnswer &answer);
    // Waits until an answer arrives. Returns false if none does in time.
    [[nodiscard]] static bool waitForAnswer(Pending &pending, Millis until);
    void count(std::string_view what);

    ServingState *m_state;
    Incarnation m_incarnation;
    Send m_send;
    std::map<ServiceName, Brokered> m_brokered;
    std::map<std::uint64_t, Pending *> m_pending;
    // By service and broker.
    std::map<std::pair<ServiceName, MemberName>, Holding> m_holdings;
    SilentMembers m_silent {silentPauses};
    std::map<ServiceName, Choice> m_brokers;
    // Services under pressure, and until when they count as such without a further sign.
    std::map<ServiceName, Millis> m_pressed;
    std::uint64_t m_nextNumber = 1;
};

} // namespace fescue::serving
