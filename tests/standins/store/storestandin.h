#pragma once

#include "tests/standins/standin.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fescue::standins {

// The platform's key-value service, in memory, with switches for its faults. Runs on one worker.
class StoreStandIn
{
public:
    void handle(const net::HttpRequest &request, net::ResponseWriter &writer);

private:
    enum class Outage : std::uint8_t
    {
        None,
        // Connections are closed without an answer.
        Refuse,
        // Connections stay open without an answer.
        Hang,
    };

    struct Version
    {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = true;
    };

    struct Entry
    {
        Version now;
        Version before;
        std::uint64_t lease = 0;
    };

    struct Lease
    {
        Millis ttl;
        Millis expiresAt;
    };

    void control(const net::HttpRequest &request, net::ResponseWriter &writer);
    void count(const net::HttpRequest &request);
    [[nodiscard]] net::HttpResponse answer(const net::HttpRequest &request);
    [[nodiscard]] net::HttpResponse get(const std::string &key) const;
    [[nodiscard]] net::HttpResponse list(const net::HttpRequest &request) const;
    [[nodiscard]] net::HttpResponse put(const std::string &key, const net::HttpRequest &request);
    [[nodiscard]] net::HttpResponse remove(const std::string &key, const net::HttpRequest &request);
    [[nodiscard]] net::HttpResponse lease(const net::HttpRequest &request);
    [[nodiscard]] net::HttpResponse watch(const net::HttpRequest &request);
    // Versions with a prefix that are newer than a revision.
    [[nodiscard]] Json collect(const std::string &prefix, std::uint64_t after,
                               bool withDeleted) const;
    [[nodiscard]] const Version &visible(const Entry &entry) const noexcept;
    // Revision of a key; 0 where it is absent.
    [[nodiscard]] std::uint64_t revisionOf(const std::string &key) const;
    [[nodiscard]] std::optional<net::HttpResponse>
    checkCondition(const std::string &key, const net::HttpRequest &request) const;
    void change(const std::string &key, Version version, std::uint64_t lease);
    void erase(const std::string &key);
    void dropLease(std::uint64_t id);
    void expireLeases();
    [[nodiscard]] bool losesAnswer(const net::HttpRequest &request);

    std::map<std::string, Entry> m_entries;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastLease = 0;

    Outage m_outage = Outage::None;
    Millis m_delay {0};
    std::uint32_t m_loseAnswers = 0;
    std::string m_losePrefix;
    bool m_oldValues = false;

    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watches = 0;
    // By the first part of the key or path.
    std::map<std::string, std::uint64_t> m_causes;
};

} // namespace fescue::standins
