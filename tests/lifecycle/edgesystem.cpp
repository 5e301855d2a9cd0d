#include "tests/lifecycle/edgesystem.h"

#include "platform/names.h"
#include "tests/serving/onworker.h"
#include "tests/soak/soakconfig.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace fescue::test {

namespace names = platform::names;
using soak::EntryOptions;
using soak::EntryProcess;

namespace {

constexpr Millis pollInterval = 10_ms;
// Pause of a caller after a refusal or a failure.
constexpr Millis callerPause = 20_ms;

// Loopback addresses of test programs that run at the same time differ.
std::string loopbackIp(std::size_t entry)
{
    const unsigned pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + '.' + std::to_string(pid % 250) + '.'
        + std::to_string(entry + 101);
}

} // namespace

void sleepThread(Millis span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

EdgeSystem::EdgeSystem(std::string_view name, std::size_t entries, const ProcessLimits &limits)
    : m_store(entries),
      m_storeServer(m_pool, {"127.0.0.1", 0}, net::ServerLimits {},
                    [this](const net::HttpRequest &request, net::ResponseWriter &writer) {
                        m_store.handle(0, request, writer);
                    }),
      m_posts(m_pool, "posts-1"), m_reads(m_pool, "reads-1")
{
    if (const Result<void> started = m_storeServer.start(); !started)
        throw std::runtime_error(started.error().toString());
    runOnWorker(m_pool, [this] {
        registerBackEnd(m_posts, soak::firstPlainService);
        registerBackEnd(m_reads, soak::secondPlainService);
        m_store.put(std::string(names::configKey), soak::firstConfig().encode());
    });
    const std::string folder = std::string(FESCUE_TEST_FOLDER) + '/' + std::string(name);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    for (std::size_t i = 0; i < entries; ++i) {
        EntryOptions options;
        options.program = FESCUE_EDGE_PROGRAM;
        options.folder = folder;
        options.zone = "north";
        options.name = "entry-" + std::to_string(i);
        options.ip = loopbackIp(i);
        options.store = m_storeServer.address();
        options.memoryMegabytes = limits.memoryMegabytes;
        options.maxDescriptors = limits.maxDescriptors;
        options.openFileLimit = limits.openFileLimit;
        m_entries.push_back(std::make_unique<EntryProcess>(options));
    }
}

EdgeSystem::~EdgeSystem()
{
    m_entries.clear();
    m_pool.stop();
    m_pool.join();
}

void EdgeSystem::registerBackEnd(const BackEnd &backEnd, std::string_view service)
{
    soak::EndpointEntry entry;
    entry.service = service;
    entry.address = backEnd.address().toString();
    entry.zone = "north";
    m_store.put(std::string(names::endpointPrefix) + backEnd.id(), entry.encode());
}

void EdgeSystem::setWork(Millis shortest, Millis longest)
{
    m_posts.setWork(shortest, longest);
    m_reads.setWork(shortest, longest);
}

void EdgeSystem::setRouteTimeout(Millis timeout)
{
    soak::SoakConfig config = soak::firstConfig();
    config.version = 2;
    for (std::pair<const std::string, soak::SoakRoute> &route : config.routes)
        route.second.timeout = timeout;
    runOnWorker(m_pool, [&] { m_store.put(std::string(names::configKey), config.encode()); });
}

void EdgeSystem::setHeadTimeout(Millis timeout)
{
    soak::SoakConfig config = soak::firstConfig();
    config.version = 2;
    nlohmann::json json = nlohmann::json::parse(config.encode());
    json["Limits"]["HeaderTimeoutMs"] = timeout.count;
    runOnWorker(m_pool, [&] { m_store.put(std::string(names::configKey), json.dump()); });
}

void EdgeSystem::startAll()
{
    for (const std::unique_ptr<EntryProcess> &process : m_entries) {
        process->writeSettings(1);
        process->start();
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (!waitUntilReady(i))
            throw std::runtime_error(m_entries[i]->name() + " is not ready");
    }
}

bool EdgeSystem::waitUntilReady(std::size_t index, Millis timeout)
{
    const Millis until = SteadyClock {}.now() + timeout;
    bool isReady = false;
    runOnWorker(m_pool, [&] {
        net::HttpClient client;
        net::HttpRequest request;
        request.target = names::readyPath;
        request.freshConnection = true;
        while (!isReady && SteadyClock {}.now() < until) {
            const Result<net::HttpResponse> answer =
                client.request(m_entries[index]->ready(), request, 1_s);
            isReady = answer && answer->status == 200;
            if (!isReady)
                net::sleepFor(pollInterval);
        }
    });
    return isReady;
}

std::optional<Millis> EdgeSystem::waitUntilEnded(std::size_t index, Millis timeout)
{
    const Millis begun = SteadyClock {}.now();
    while (SteadyClock {}.now() < begun + timeout) {
        if (m_entries[index]->hasEnded())
            return SteadyClock {}.now() - begun;
        sleepThread(pollInterval);
    }
    return std::nullopt;
}

std::optional<BackEndRun> EdgeSystem::runOf(const std::string &callId) const
{
    const std::optional<BackEndRun> run = m_posts.runOf(callId);
    return run ? run : m_reads.runOf(callId);
}

void EdgeSystem::setStoreMode(soak::StoreMode mode)
{
    runOnWorker(m_pool, [this, mode] { m_store.setMode(mode); });
}

std::string EdgeSystem::logOf(std::size_t index) const
{
    std::ifstream file(m_entries[index]->logPath());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

CallerCrowd::CallerCrowd(net::Address address, std::size_t callers, CallOptions options)
    : m_address(std::move(address)), m_options(options)
{
    for (std::size_t i = 0; i < callers; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

CallerCrowd::~CallerCrowd()
{
    static_cast<void>(stop());
}

std::vector<CallRecord> CallerCrowd::stop()
{
    m_stopping = true;
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
    return m_records;
}

void CallerCrowd::run(std::size_t number)
{
    RawCaller caller(m_address);
    const bool keepsConnection = number % 2 == 0;
    for (std::size_t n = 0; !m_stopping; ++n) {
        const CallRecord record =
            caller.call("c" + std::to_string(number) + '-' + std::to_string(n), m_options);
        if (!keepsConnection)
            caller.close();
        const bool isServed = record.end == CallEnd::Answered && record.status == 200;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_records.push_back(record);
        }
        if (!isServed)
            sleepThread(callerPause);
    }
}

} // namespace fescue::test
