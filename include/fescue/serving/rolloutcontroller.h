#pragma once

#include "fescue/core/memberinfo.h"
#include "fescue/net/storeclient.h"
#include "fescue/serving/generationmover.h"
#include "fescue/serving/protocol.h"
#include "fescue/serving/rolloutevidence.h"
#include "fescue/serving/rolloutnotice.h"
#include "fescue/serving/servingstate.h"
#include "fescue/serving/storemirror.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace fescue::serving {

// Calls of a roll-out controller to the other parts of its process.
struct RolloutHooks
{
    // Sends a datagram to another entry process.
    std::function<void(const MemberInfo &, std::string_view)> send;
    // Writes a key of the store unless it has changed since this process received it.
    std::function<net::StoreResult<void>(const std::string &key, const std::string &value)> write;
    // Returns true if this process' own calls to the store fail.
    std::function<bool()> isRejected;
};

// Carries out roll-outs together with the controllers of the other processes: reports this process'
// answers, and if it is a collector of a service, judges the sums of all processes, permits
// requests to the new version and writes the next step to the store.
template <PlatformProtocol P>
class RolloutController
{
public:
    RolloutController(ServingState &state, GenerationMover<P> &mover, MemberInfo self,
                      RolloutHooks hooks);

    // Repeats tick() on a fiber. Must be called on the worker.
    void start();
    // Apply a change of the operator's order or of the state of a roll-out in the store.
    void orderChanged(const ServiceName &service, const StoreChange &change);
    void statusChanged(const ServiceName &service, const StoreChange &change);
    // Handles a datagram of another controller. Returns false if it is malformed.
    bool handleNotice(std::string_view bytes);

private:
    struct MemberReport
    {
        Millis at {0};
        std::uint64_t change = 0;
        std::uint32_t openAtOld = 0;
    };

    // What this process knows as a collector of one service.
    struct Collected
    {
        RolloutJudge judge;
        RolloutVerdict verdict;
        std::map<MemberName, MemberReport> reports;
        // Time since which the record should be written.
        std::optional<Millis> writeWantedSince;
        // Change that the record had then.
        std::uint64_t changeBefore = 0;
        bool isWriting = false;
    };

    // Returns this process' part of the operator's allowance.
    [[nodiscard]] double initialCredit(const ServiceName &service, const RolloutLimits &limits);
    void tick();
    void serve(Millis now, const ServiceName &service, const std::vector<MemberView> &members);
    void handleReport(const RolloutReport &report);
    void handlePermit(const RolloutPermit &permit);
    // Returns the collectors of a service, the first to write first.
    [[nodiscard]] std::vector<MemberName> collectors(Millis now, const ServiceName &service,
                                                     const std::vector<MemberView> &members) const;
    [[nodiscard]] RolloutReport ownReport(const Rollout &rollout) const;
    // Judges, permits and decides. `rank` is this process' place among the collectors.
    void collect(Millis now, const Rollout &rollout, std::size_t rank,
                 const std::vector<MemberView> &members);
    // Returns the record that the store should have, or nullopt if it has it.
    [[nodiscard]] std::optional<RolloutRecord> nextRecord(Millis now, const Rollout &rollout,
                                                          const Collected &collected,
                                                          const std::vector<MemberView> &members);
    void write(const RolloutRecord &record, const RolloutVerdict &verdict);
    [[nodiscard]] bool isOldIdle(Millis now, const RolloutRecord &record,
                                 const Collected &collected,
                                 const std::vector<MemberView> &members) const;
    // Moves the generations of this process away from endpoints whose version is being replaced.
    void leaveOldVersions(const ServiceName &service);

    ServingState *m_state;
    GenerationMover<P> *m_mover;
    MemberInfo m_self;
    RolloutHooks m_hooks;
    std::map<ServiceName, Collected> m_collected;
    // The latest states that the store has, as received; a restored store may have earlier ones.
    std::map<ServiceName, RolloutRecord> m_stored;
    // Times at which members reported that the store rejects them.
    std::map<MemberName, Millis> m_rejectedAt;
};

} // namespace fescue::serving

#include "fescue/serving/rolloutcontroller.inl"
