#pragma once

#include "tests/standins/standin.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::soak {

using standins::Json;

enum class StoreMode : std::uint8_t
{
    Serve,
    // Answers that nothing was done.
    Unavailable,
    // Closes connections without an answer.
    Reset,
    // Keeps connections open without an answer.
    Hang,
};

// The users' store, in memory, with switches for its faults. Runs on one worker.
class PlatformStore
{
public:
    explicit PlatformStore(std::size_t entryCount) : m_modes(entryCount, StoreMode::Serve) { }

    // Serves one call of an entry process.
    void handle(std::size_t entry, const net::HttpRequest &request, net::ResponseWriter &writer);

    // Changes by the operator and by endpoints, which reach the store whatever its mode.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    [[nodiscard]] std::optional<std::string> find(const std::string &key) const
    {
        const auto it = m_now.items.find(key);
        return it == m_now.items.end() ? std::nullopt
                                       : std::optional<std::string>(it->second.value);
    }
    [[nodiscard]] bool has(const std::string &key) const { return m_now.items.contains(key); }

    void setMode(StoreMode mode);
    void setMode(std::size_t entry, StoreMode mode) { m_modes[entry] = mode; }
    void setDelay(Millis delay) { m_delay = delay; }
    // Of ten changes, this many take effect and get no answer.
    void setLostAnswers(unsigned ofTen) { m_lostOfTen = ofTen; }
    void dropHistory() { m_now.historyFrom = m_now.revision; }
    // Goes back to the state of about `back` ago, in a new era. What entries wrote since is lost;
    // writeAgain() brings back what the operator and endpoints wrote.
    void rewind(Millis back);
    void writeAgain();

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct Change
    {
        std::uint64_t revision = 0;
        std::string key;
        bool deleted = false;
    };

    struct Lease
    {
        Millis ttl {0};
        Millis endsAt {0};
    };

    // A write of the operator or an endpoint; a removal has no value.
    struct OutsideWrite
    {
        Millis at {0};
        std::string key;
        std::optional<std::string> value;
    };

    // All that is lost when the store comes back older.
    struct Contents
    {
        Millis at {0};
        std::map<std::string, Item> items;
        std::vector<Change> changes;
        std::map<std::uint64_t, Lease> leases;
        std::uint64_t revision = 1;
        std::uint64_t historyFrom = 0;
        std::uint64_t lastLease = 0;
    };

    [[nodiscard]] net::HttpResponse answer(const net::HttpRequest &request,
                                           net::ResponseWriter &writer);
    // Sends an answer with the store's era, which all answers tell.
    void send(net::HttpResponse response, net::ResponseWriter &writer) const;
    [[nodiscard]] net::HttpResponse get(const net::HttpRequest &request) const;
    [[nodiscard]] net::HttpResponse range(const net::HttpRequest &request) const;
    [[nodiscard]] net::HttpResponse watch(const net::HttpRequest &request,
                                          net::ResponseWriter &writer) const;
    [[nodiscard]] net::HttpResponse change(const Json &body);
    [[nodiscard]] net::HttpResponse lease(const net::HttpRequest &request);
    [[nodiscard]] Json describe(const std::string &key, const Item &item) const;
    [[nodiscard]] Json changesAfter(std::string_view prefix, std::uint64_t after) const;
    void write(const std::string &key, const std::string &value, std::uint64_t lease);
    void erase(const std::string &key);
    void endLeases();
    // Keeps a copy of the contents every so often, for rewind().
    void keepContents();
    [[nodiscard]] StoreMode modeFor(std::size_t entry) const noexcept;

    Contents m_now;
    std::deque<Contents> m_kept;
    std::vector<OutsideWrite> m_outside;
    // Writes that the store has lost and gets again.
    std::vector<OutsideWrite> m_lost;
    Millis m_rewoundAt {0};
    std::uint64_t m_era = 1;
    StoreMode m_mode = StoreMode::Serve;
    std::vector<StoreMode> m_modes;
    Millis m_delay {0};
    unsigned m_lostOfTen = 0;
    unsigned m_calls = 0;
};

} // namespace fescue::soak
