#pragma once

#include "fescue/net.h"
#include "tests/lifecycle/backend.h"
#include "tests/lifecycle/rawcaller.h"
#include "tests/soak/entryprocess.h"
#include "tests/soak/storestandin.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace fescue::test {

// Limits of each process of an EdgeSystem; none where a number is 0.
struct ProcessLimits
{
    std::size_t memoryMegabytes = 0;
    // Descriptors by the settings, and those that the kernel allows.
    std::size_t maxDescriptors = 0;
    std::size_t openFileLimit = 0;
};

// Real processes of fescue-edge before stand-ins of the store and of two plain services, one for
// calls that may not be repeated and one for those that may.
class EdgeSystem
{
public:
    // `name` is the folder of its settings and logs below the folder of the tests.
    EdgeSystem(std::string_view name, std::size_t entries, const ProcessLimits &limits = {});
    ~EdgeSystem();
    EdgeSystem(const EdgeSystem &) = delete;
    EdgeSystem &operator=(const EdgeSystem &) = delete;

    [[nodiscard]] soak::EntryProcess &entry(std::size_t index) { return *m_entries[index]; }
    void setWork(Millis shortest, Millis longest);
    // Publishes a configuration whose routes have another timeout.
    void setRouteTimeout(Millis timeout);
    // Publishes a configuration with another limit on the arrival of a request.
    void setHeadTimeout(Millis timeout);
    // Sets the size of the answers to calls that may be repeated.
    void setReadAnswerBytes(std::size_t n) { m_reads.setAnswerBytes(n); }
    // Writes the settings of all entries and starts them; waits until they are ready.
    void startAll();
    // Waits until an entry answers its readiness check with 200. Returns false after the timeout.
    [[nodiscard]] bool waitUntilReady(std::size_t index, Millis timeout = 10_s);
    // Waits until an entry has ended. Returns the time from the call on; nothing after the timeout.
    [[nodiscard]] std::optional<Millis> waitUntilEnded(std::size_t index, Millis timeout = 12_s);
    // Returns what the back ends did for a call.
    [[nodiscard]] std::optional<BackEndRun> runOf(const std::string &callId) const;
    // Stops and restores the answers of the store to all entries.
    void setStoreMode(soak::StoreMode mode);
    // Returns the log of an entry.
    [[nodiscard]] std::string logOf(std::size_t index) const;

private:
    void registerBackEnd(const BackEnd &backEnd, std::string_view service);

    net::WorkerPool m_pool {1};
    soak::PlatformStore m_store;
    net::HttpServer m_storeServer;
    BackEnd m_posts;
    BackEnd m_reads;
    std::vector<std::unique_ptr<soak::EntryProcess>> m_entries;
};

// Callers that each send one call after the other to one address, until nothing listens there any
// more or they are told to stop.
class CallerCrowd
{
public:
    // Callers with an even number keep their connections, the others use a new one for each call.
    CallerCrowd(net::Address address, std::size_t callers, CallOptions options);
    ~CallerCrowd();
    CallerCrowd(const CallerCrowd &) = delete;
    CallerCrowd &operator=(const CallerCrowd &) = delete;

    // Ends the calls and returns all records.
    [[nodiscard]] std::vector<CallRecord> stop();

private:
    void run(std::size_t number);

    net::Address m_address;
    CallOptions m_options;
    std::atomic<bool> m_stopping {false};
    // Guards m_records.
    std::mutex m_mutex;
    std::vector<CallRecord> m_records;
    std::vector<std::thread> m_threads;
};

void sleepThread(Millis span);

} // namespace fescue::test
