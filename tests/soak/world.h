#pragma once

#include "tests/soak/endpointfarm.h"
#include "tests/soak/entryprocess.h"
#include "tests/soak/ledger.h"
#include "tests/soak/storestandin.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::soak {

inline constexpr std::array<std::string_view, 3> zones {"north", "middle", "south"};

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::size_t entries = 5;
    std::size_t engines = 8;
    std::size_t plainEndpoints = 3;
    // Time with faults; a time of recovery without any follows.
    Millis duration = 20_s;
    // Faults in a time, as a multiple of the usual number.
    double density = 1;
    // Share of the generations whose prompt crashes engines.
    double crashingShare = 0;
    // Some callers ask for streams that may be resumed, and come back after breaks.
    bool hasResumable = false;
    // Kind of the roll-out that is ordered: "good", "bad", "slow", "later" or "load"; none if
    // empty.
    std::string rollout;
    std::string program;
    std::string folder;
};

// The settings file of a process as another writer leaves it for a time.
enum class SettingsState : std::uint8_t
{
    Whole,
    Empty,
    Cut,
    Replaced,
    Absent,
};

// What a start of an entry process meets.
struct StartTrouble
{
    SettingsState settings = SettingsState::Whole;
    // An address that another socket holds.
    std::optional<net::Address> held;
    Millis lasts {0};
    // Signals for changed settings, the first of them so long after the start.
    unsigned hangups = 0;
    Millis firstHangup {0};
};

// An entry process with the paths that lead to and from it.
struct Entry
{
    std::unique_ptr<net::HttpServer> storeServer;
    std::unique_ptr<FaultRelay> storeRelay;
    std::unique_ptr<FaultRelay> callerRelay;
    std::unique_ptr<EntryProcess> process;
    // A signal that ends it was sent.
    bool endExpected = false;
    // The last of these signals was SIGKILL.
    bool killed = false;
    // It did not handle SIGTERM yet just before that was sent.
    bool endedEarly = false;
    StartTrouble nextStart;
    // Times of the last signal that ends it, of its end and of its last start.
    Millis endingSince {0};
    Millis endedAt {0};
    Millis startedAt {0};
};

// Everything that one run consists of. Belongs to the first worker of the pool.
class World
{
public:
    World(net::WorkerPool &pool, SoakOptions soakOptions);

    // Starts endpoints, writes the first configuration, and starts the entry processes.
    void start();
    // Restarts entry processes that have ended, and notes those that ended by themselves.
    void supervise();
    // Replaces some engines again and again, as the users' platform does all day.
    void churn();
    // Notes when this process itself did not run.
    // Orders a roll-out of the engines and checks how it ends.
    void rollOut();
    void watchOwnDelays();
    // Asks entries whether they are ready.
    void checkReadiness();

    // Sends a signal that ends the entry; it starts again by itself. Returns false where it is
    // already ending or does not run.
    bool end(std::size_t entry, int signal);
    // Writes the settings of an entry as they are for a time; whole again afterwards.
    void disturbSettings(std::size_t entry, SettingsState state, Millis lasts);
    // Waits until the program handles its signals. Notes a violation where that takes too long.
    // Returns false if the process ends or starts anew meanwhile.
    [[nodiscard]] bool waitForFirstCode(std::size_t entry);
    // Sends signals for changed settings, the first of them so long after the first code of the
    // program has run.
    void sendHangups(std::size_t entry, unsigned hangups, Millis first);
    void publish(const SoakConfig &config);

    [[nodiscard]] static Millis now() noexcept { return SteadyClock {}.now(); }

    net::WorkerPool &pool;
    SoakOptions options;
    Disturbances disturbances;
    Ledger ledger;
    PlatformStore store;
    EndpointFarm farm;
    std::vector<Entry> entries;
    // A line for each end of an entry process.
    std::vector<std::string> ends;
    bool stopping = false;
    Millis beganAt {0};

private:
    // Waits until the operator reads an end of the roll-out; returns its state, or "serving".
    [[nodiscard]] std::string waitForRollout(Millis until);
    void createEntry(std::size_t index);
    void startEntry(std::size_t index);
    void holdAddress(const net::Address &address, Millis lasts);
    // Ends an entry at once, also one that is in a stop.
    void kill(std::size_t index);
    void noteEnd(std::size_t index);
    void superviseEntry(std::size_t index);

    unsigned m_settingsGeneration = 0;
};

} // namespace fescue::soak
