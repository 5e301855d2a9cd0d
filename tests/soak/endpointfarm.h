#pragma once

#include "tests/soak/ledger.h"
#include "tests/soak/storestandin.h"
#include "tests/standins/relay/faultrelay.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fescue::soak {

// The version that a roll-out orders, and the bad answers after which it must be found.
inline constexpr std::string_view newVersion = "v2";
inline constexpr std::uint32_t decisiveBadAnswers = 50;

using standins::FaultRelay;
using standins::RelayMode;

// The text of one event of a generation; a caller can tell by it whose event it is.
[[nodiscard]] std::string eventText(std::string_view callId, std::uint64_t number);
// The answer of a plain service.
[[nodiscard]] std::string plainAnswer(std::string_view callId);

// Failures of one endpoint, in parts of its requests.
struct EndpointTrouble
{
    double failing = 0;
    // The request runs and its answer is lost.
    double losing = 0;
    // The answer breaks off in its middle.
    double truncating = 0;
    double shedding = 0;
    // The request is turned away, with a time for which the endpoint wants nothing.
    double pausing = 0;
    // Bytes that are no answer come until the caller closes.
    double endless = 0;
};

// The memory of a generation, kept at an engine that does not run it.
struct Copy
{
    std::string callId;
    Millis lapsesAt = endOfTime;
};

// One life of an endpoint.
struct Endpoint
{
    std::size_t index = 0;
    std::string id;
    std::string service;
    std::string zone;
    std::string version;
    Millis bornAt {0};
    bool draining = false;
    bool alive = true;
    // Says in its answers that it leaves; the store does not know.
    bool saysLeaving = false;
    Millis leavesAt = endOfTime;
    EndpointTrouble trouble;
    std::unique_ptr<net::HttpServer> server;
    std::unique_ptr<FaultRelay> relay;
    // Generations that run here, by call; the flag stops one for its move.
    std::map<std::string, std::uint64_t> running;
    std::map<std::string, bool> stopped;
    // By handle, or by call for a backup.
    std::map<std::string, Copy> copies;
    Millis linkFreeAt {0};
};

// How the answers of a new version of the engines are bad.
struct VersionTrouble
{
    double share = 0;
    Millis from {0};
    // Only at engines with at least this number of generations.
    std::size_t load = 0;
    // Time that bad answers take longer; failures if it is 0.
    Millis delay {0};
};

// What the engines have seen of a new version.
struct VersionTally
{
    std::uint32_t requests = 0;
    std::uint32_t toNew = 0;
    std::uint32_t bad = 0;
    std::optional<Millis> decisiveAt;
    Millis lastToNew {0};
};

// All endpoints of the deployment: stand-ins for model engines and plain services, which register
// in the store and record in the ledger what reaches them.
class EndpointFarm
{
public:
    EndpointFarm(net::WorkerPool &pool, PlatformStore &store, Ledger &ledger,
                 Disturbances &disturbances, std::uint64_t seed);

    // Starts an endpoint and registers it. A cold one has just started.
    Endpoint &start(std::string_view service, std::string_view zone, bool cold,
                    std::string_view version = "v1");
    // Ends an endpoint whose version was replaced, with its entry.
    void stop(Endpoint &endpoint);
    // Gives notice, serves for `notice` and ends.
    void drain(Endpoint &endpoint, Millis notice);
    // Gives notice in its answers only, serves for `notice` and ends.
    void sayLeaving(Endpoint &endpoint, Millis notice);
    // Ends without notice; the entry in the store goes later.
    void crash(Endpoint &endpoint);
    // Lets the address of an endpoint that is gone lead to another one.
    static void reuseAddress(const Endpoint &gone, const Endpoint &next);

    // Trouble of the engines of version "v2", and what they have seen.
    VersionTrouble versionTrouble;
    VersionTally versionTally;

    // Makes the work of plain services long at times.
    void setLongWork(bool isLong) noexcept { m_hasLongWork = isLong; }
    // Endpoints that run and have given no notice.
    [[nodiscard]] std::vector<Endpoint *> live(std::string_view service);
    [[nodiscard]] std::vector<std::unique_ptr<Endpoint>> &all() noexcept { return m_endpoints; }

    void setRegistered(Endpoint &endpoint, bool registered);

private:
    // Ends an engine that begins to answer a crashing prompt; another one starts in its place.
    void crashOn(Endpoint &endpoint, const Call &call);
    // Ends the process of an endpoint; its entry in the store stays.
    void end(Endpoint &endpoint);
    void handle(Endpoint &endpoint, const net::HttpRequest &request, net::ResponseWriter &writer);
    void serveCall(Endpoint &endpoint, const net::HttpRequest &request,
                   net::ResponseWriter &writer);
    void servePlain(Endpoint &endpoint, Call &call, net::ResponseWriter &writer);
    // Answers of the new version that are bad; returns true if the call was answered.
    [[nodiscard]] bool troubleVersion(const Endpoint &endpoint, Call &call,
                                      net::ResponseWriter &writer);
    void serveDraft(Endpoint &endpoint, Call &call, const net::HttpRequest &request,
                    net::ResponseWriter &writer);
    void stream(Endpoint &endpoint, Call &call, std::uint64_t first, bool resumed,
                const std::string &backup, net::ResponseWriter &writer);
    void report(const Endpoint &endpoint, net::ResponseWriter &writer);
    void move(Endpoint &endpoint, const net::HttpRequest &request, net::ResponseWriter &writer);
    void freeCopy(const std::string &handle, net::ResponseWriter &writer);
    void keepBackup(const std::string &address, const Call &call);
    // First event that follows a copy; nothing where there is no such copy here.
    [[nodiscard]] bool takeCopy(Endpoint &endpoint, const Call &call, std::string_view from);
    // Turns a request away and names a time for which the endpoint wants nothing.
    void askForPause(Endpoint &endpoint, const Call &call, net::ResponseWriter &writer);
    // Writes until the caller closes, or for a bounded time and size.
    void writeEndlessly(const Endpoint &endpoint, net::ResponseWriter &writer);
    // Headers of an answer to a call; records what they say of the endpoint.
    [[nodiscard]] std::vector<net::Header> headersFor(const Endpoint &endpoint, Call &call);
    void checkSystemHeaders(const Call &call, const net::HttpRequest &request);
    [[nodiscard]] Endpoint *at(std::string_view address);
    [[nodiscard]] Millis drawWork();
    [[nodiscard]] bool chance(double part);
    void registerEndpoint(const Endpoint &endpoint);

    net::WorkerPool *m_pool;
    PlatformStore *m_store;
    Ledger *m_ledger;
    Disturbances *m_disturbances;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::uint64_t m_lastHandle = 0;
    bool m_hasLongWork = false;
};

} // namespace fescue::soak
