#pragma once

#include "standins/http.h"

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace review {

// Writes the record of a run, with the time since its start.
class Record
{
public:
    explicit Record(const std::string &path);

    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    double m_begin;
};

// The platform's store: items, watches, conditional changes and leases, on a loopback port.
class Store
{
public:
    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_listener->port(); }
    std::uint64_t put(const std::string &key, const std::string &value, std::uint64_t lease = 0);
    void remove(const std::string &key);

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
        bool deleted = false;
    };

    struct Lease
    {
        double endsAt = 0;
        std::int64_t ttlMillis = 0;
    };

    void serve(Connection &connection);
    std::string handle(const Message &request);
    std::string range(const std::string &target);
    std::string watch(const std::string &target);
    std::string change(const std::string &body);
    std::string grantLease(const std::string &body);
    std::string renewLease(std::uint64_t lease);
    void endLease(std::uint64_t lease);
    void expireLeases();
    // The lock must be held.
    std::uint64_t putLocked(const std::string &key, const std::string &value, std::uint64_t lease);
    void removeLocked(const std::string &key);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<std::pair<std::string, Item>> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 100;
    std::uint64_t m_nextLease = 1;
    bool m_stopped = false;
    std::thread m_expiry;
    std::unique_ptr<Listener> m_listener;
};

// One process of the program under review, started with the command of the deploy file.
class Edge
{
public:
    // Chooses ports and writes the settings file into the folder.
    Edge(const std::string &folder, std::string name, std::string zone, std::uint16_t storePort);
    ~Edge();
    Edge(const Edge &) = delete;
    Edge &operator=(const Edge &) = delete;

    [[nodiscard]] bool start();
    // Sends a signal to the process.
    void signal(int number) const;
    // Returns true if the process has ended since the last call; `how` then says in which way.
    [[nodiscard]] bool ended(std::string &how);
    // Waits until the process says that it is ready.
    [[nodiscard]] bool waitReady(double seconds) const;
    void kill();

    [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }
    [[nodiscard]] const std::string &name() const noexcept { return m_name; }
    [[nodiscard]] bool running() const noexcept { return m_pid > 0; }

private:
    std::string m_folder;
    std::string m_name;
    std::uint16_t m_port = 0;
    pid_t m_pid = -1;
};

// A folder below the system's temporary one, removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    [[nodiscard]] const std::string &path() const noexcept { return m_path; }

private:
    std::string m_path;
};

// A configuration with one route of each kind: /stream/ to the service "llm", /once/ (not
// idempotent) and /read/ (idempotent) to the service "app".
std::string configuration();
inline constexpr std::string_view routeHost = "desk.example";
inline constexpr std::string_view accountKey = "xd9dnn2ctnfzs989anu6";

// An engine's entry in the store.
std::string engineEntry(std::string_view service, std::string_view address, std::string_view state,
                        int slots, int sequence, std::int64_t born);

// Returns true unless TROUBLE=0 is set.
bool withTrouble();

// The head of a caller's request, with the connection kept.
std::string callHead(std::string_view method, std::string_view path, std::string_view id,
                     int deadlineMillis, std::string_view moreHeaders);

} // namespace review
