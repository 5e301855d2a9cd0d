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
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace fescue::serving {

// Calls of a roll-out controller to the other parts of its process.
struct RolloutHooks
{
    // Sends a datagram to another entry process.
    std::function<void(const MemberInfo &, std::string_view)> send;
    // Writes a key of the store if it has the expected revision.
    std::function<net::StoreResult<void>(const std::string &key, const std::string &value,
                                         net::StoreRevision expected)>
        write;
    // Returns true if this process' own calls to the store fail.
    std::function<bool()> isRejected;
    std::function<Millis()> now = &ServingState::now;
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
    // Sends the reports and permits that are due, and writes the steps of which this process is a
    // collector. Must be called on a fiber of the worker.
    void tick();
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
        // Counts by process and its life.
        std::map<std::pair<MemberName, Incarnation>, RolloutCounts> counts;
        // Time since which the record should be written.
        std::optional<Millis> writeWantedSince;
        // Change that the record had then.
        std::uint64_t changeBefore = 0;
    };

    // The status key of a service as the store has it.
    struct StoredRecord
    {
        // nullopt if the value is malformed.
        std::optional<RolloutRecord> record;
        net::StoreRevision revision;
    };

    // This process' writes of one service's status key.
    struct WriteState
    {
        bool isWriting = false;
        // Failures since the last success or the last change of the key.
        int failures = 0;
        Millis notBefore {0};
    };

    // The next state of a roll-out and the revision of the key on which it is based.
    struct NextRecord
    {
        RolloutRecord record;
        net::StoreRevision expected;
        // Counts of all processes, for the log.
        RolloutCounts counts;
    };

    // Returns this process' part of the operator's allowance.
    [[nodiscard]] double initialCredit(const ServiceName &service, const RolloutLimits &limits);
    void serve(Millis now, const ServiceName &service, const std::vector<MemberView> &members);
    void handleReport(const RolloutReport &report);
    void handlePermit(const RolloutPermit &permit);
    // Returns the collectors of a service, the first to write first.
    [[nodiscard]] std::vector<MemberName> collectors(Millis now, const ServiceName &service,
                                                     const std::vector<MemberView> &members) const;
    // Returns what is known for the next step.
    [[nodiscard]] RolloutFacts factsOf(Millis now, const Rollout &rollout,
                                       const RolloutRecord &record, const Collected &collected,
                                       const std::vector<MemberView> &members) const;
    [[nodiscard]] RolloutReport ownReport(Millis now, const Rollout &rollout) const;
    // Judges, permits and decides. `rank` is this process' place among the collectors.
    void collect(Millis now, const Rollout &rollout, std::size_t rank,
                 const std::vector<MemberView> &members);
    // Returns the record that the store should have, or nullopt if it has it.
    [[nodiscard]] std::optional<NextRecord> nextRecord(Millis now, const Rollout &rollout,
                                                       const Collected &collected,
                                                       const std::vector<MemberView> &members);
    // Writes the next state on a fiber.
    void spawnWrite(const NextRecord &next, const RolloutVerdict &verdict);
    // Returns false if the store has not confirmed the write.
    bool write(const NextRecord &next, const RolloutVerdict &verdict);
    // Returns true if the store does not have the known state of a roll-out.
    [[nodiscard]] bool isLost(const Rollout &rollout) const;
    // Returns true for some time after a completion, in which processes that have not received it
    // still need permits.
    [[nodiscard]] static bool isJustCompleted(Millis now, const Rollout &rollout);
    [[nodiscard]] bool isOldIdle(Millis now, const RolloutRecord &record,
                                 const Collected &collected,
                                 const std::vector<MemberView> &members) const;
    // Notes whether generations have to leave the old versions in a stage that was reached.
    void followStage(const ServiceName &service, RolloutStage stage);
    // Moves the generations of this process away from endpoints whose version is being replaced.
    void leaveOldVersions(Millis now, const ServiceName &service);

    ServingState *m_state;
    GenerationMover<P> *m_mover;
    MemberInfo m_self;
    RolloutHooks m_hooks;
    std::map<ServiceName, Collected> m_collected;
    std::map<ServiceName, WriteState> m_writes;
    // The latest states that the store has, as received; a restored store may have earlier ones.
    std::map<ServiceName, StoredRecord> m_stored;
    // Services whose generations have to leave the old versions once it is time and permitted.
    std::set<ServiceName> m_closing;
    // Times at which members reported that the store rejects them.
    std::map<MemberName, Millis> m_rejectedAt;
};

} // namespace fescue::serving

#include "fescue/serving/rolloutcontroller.inl"
