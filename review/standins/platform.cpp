#include "standins/platform.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using Json = nlohmann::json;

namespace {

constexpr const char *program = "target/bin/fescue-edge";
constexpr std::string_view jsonType = "Content-Type: application/json\r\nStore-Era: 1\r\n";
constexpr std::string_view base64Letters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr int settingsPorts = 10;

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t bits = 0;
        const std::size_t n = std::min<std::size_t>(bytes.size() - i, 3);
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (k < n ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += k <= n ? base64Letters[bits >> (18 - 6 * k) & 63U] : '=';
    }
    return text;
}

std::string decodeBase64(std::string_view text)
{
    std::string bytes;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        const std::size_t value = base64Letters.find(c);
        if (value == std::string_view::npos)
            continue;
        bits = bits << 6 | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>(bits >> count & 255U);
        }
    }
    return bytes;
}

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded +=
                static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::string queryValue(const std::string &target, std::string_view name)
{
    const std::size_t mark = target.find('?');
    std::string_view rest =
        mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return decodePercent(pair.substr(equals + 1));
    }
    return {};
}

std::string jsonAnswer(int status, const Json &body)
{
    return answer(status, jsonType, body.dump());
}

} // namespace

Record::Record(const std::string &path) : m_file(path), m_begin(now()) { }

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << std::setw(8) << now() - m_begin << " s  "
           << text << '\n'
           << std::flush;
}

Store::Store()
{
    m_listener = std::make_unique<Listener>([this](Connection &connection) { serve(connection); });
    m_expiry = std::thread([this] { expireLeases(); });
}

Store::~Store()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    m_expiry.join();
    m_listener->stop();
}

std::uint64_t Store::put(const std::string &key, const std::string &value, std::uint64_t lease)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return putLocked(key, value, lease);
}

void Store::remove(const std::string &key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    removeLocked(key);
}

std::uint64_t Store::putLocked(const std::string &key, const std::string &value,
                               std::uint64_t lease)
{
    const auto it = m_items.find(key);
    const std::uint64_t revision = ++m_revision;
    const std::uint64_t created = it == m_items.end() ? revision : it->second.created;
    m_items[key] = {value, revision, created, lease, false};
    m_history.emplace_back(key, m_items[key]);
    m_changed.notify_all();
    return revision;
}

void Store::removeLocked(const std::string &key)
{
    if (m_items.erase(key) == 0)
        return;
    m_history.emplace_back(key, Item {{}, ++m_revision, 0, 0, true});
    m_changed.notify_all();
}

void Store::serve(Connection &connection)
{
    while (const std::optional<Message> request = connection.readMessage()) {
        if (!connection.write(handle(*request)))
            return;
    }
}

std::string Store::handle(const Message &request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const auto idAfter = [&path](std::string_view prefix) {
        return static_cast<std::uint64_t>(std::atoll(path.c_str() + prefix.size()));
    };
    if (path == "/kv-range")
        return range(target);
    if (path == "/kv-watch")
        return watch(target);
    if (path == "/kv-txn")
        return change(request.body);
    if (path == "/kv-lease")
        return grantLease(request.body);
    if (path.starts_with("/kv-keep/"))
        return renewLease(idAfter("/kv-keep/"));
    if (path.starts_with("/kv-lease-end/")) {
        endLease(idAfter("/kv-lease-end/"));
        return jsonAnswer(200, Json::object());
    }
    return jsonAnswer(404, Json::object());
}

std::string Store::range(const std::string &target)
{
    constexpr std::size_t maxItems = 500;
    const std::string prefix = queryValue(target, "Prefix");
    const std::string after = queryValue(target, "After");
    const std::lock_guard<std::mutex> lock(m_mutex);
    Json entries = Json::array();
    bool hasMore = false;
    for (const auto &[key, item] : m_items) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        hasMore = entries.size() >= maxItems;
        if (hasMore)
            break;
        entries.push_back({{"Key", key},
                           {"Value", encodeBase64(item.value)},
                           {"Revision", item.revision},
                           {"Created", item.created},
                           {"LeaseId", item.lease}});
    }
    return jsonAnswer(200, {{"Entries", entries}, {"HasMore", hasMore}, {"At", m_revision}});
}

std::string Store::watch(const std::string &target)
{
    const std::string prefix = queryValue(target, "Prefix");
    const std::uint64_t after =
        static_cast<std::uint64_t>(std::atoll(queryValue(target, "After").c_str()));
    const double until = now() + std::atof(queryValue(target, "WaitMs").c_str()) / 1000;
    std::unique_lock<std::mutex> lock(m_mutex);
    Json events = Json::array();
    while (true) {
        for (const auto &[key, item] : m_history) {
            if (item.revision <= after || !key.starts_with(prefix))
                continue;
            if (item.deleted)
                events.push_back({{"Key", key}, {"Revision", item.revision}, {"Deleted", true}});
            else
                events.push_back({{"Key", key},
                                  {"Value", encodeBase64(item.value)},
                                  {"Revision", item.revision},
                                  {"Created", item.created},
                                  {"LeaseId", item.lease}});
        }
        const double left = until - now();
        if (!events.empty() || left <= 0 || m_stopped)
            break;
        m_changed.wait_for(lock, std::chrono::duration<double>(left));
    }
    return jsonAnswer(200, {{"events", events}, {"At", m_revision}});
}

std::string Store::change(const std::string &body)
{
    const Json json = Json::parse(body);
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const Json &row : json.value("ExpectedRevision", Json::array())) {
        const auto it = m_items.find(row.at("Key").get<std::string>());
        const std::uint64_t current = it == m_items.end() ? 0 : it->second.revision;
        if (current != row.at("Revision").get<std::uint64_t>())
            return jsonAnswer(412, {{"Entries", Json::array()}});
    }
    for (const Json &row : json.value("Write", Json::array())) {
        const std::uint64_t lease = row.value("LeaseId", std::uint64_t {0});
        if (lease != 0 && !m_leases.contains(lease))
            return jsonAnswer(404, Json::object());
    }
    for (const Json &row : json.value("Write", Json::array()))
        putLocked(row.at("Key").get<std::string>(),
                  decodeBase64(row.at("Value").get<std::string>()),
                  row.value("LeaseId", std::uint64_t {0}));
    for (const Json &key : json.value("Remove", Json::array()))
        removeLocked(key.get<std::string>());
    return jsonAnswer(200, {{"Revision", m_revision}});
}

std::string Store::grantLease(const std::string &body)
{
    const std::int64_t ttl = Json::parse(body).at("TtlMs").get<std::int64_t>();
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::uint64_t id = m_nextLease++;
    m_leases[id] = {now() + static_cast<double>(ttl) / 1000, ttl};
    return jsonAnswer(200, {{"LeaseId", id}, {"TtlMs", ttl}});
}

std::string Store::renewLease(std::uint64_t lease)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_leases.find(lease);
    if (it == m_leases.end())
        return jsonAnswer(404, Json::object());
    it->second.endsAt = now() + static_cast<double>(it->second.ttlMillis) / 1000;
    return jsonAnswer(200, {{"TtlMs", it->second.ttlMillis}});
}

void Store::endLease(std::uint64_t lease)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_leases.erase(lease) == 0)
        return;
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const std::string &key : keys)
        removeLocked(key);
}

void Store::expireLeases()
{
    constexpr double interval = 0.05;
    while (true) {
        std::vector<std::uint64_t> ended;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_stopped)
                return;
            for (const auto &[id, lease] : m_leases) {
                if (now() > lease.endsAt)
                    ended.push_back(id);
            }
        }
        for (const std::uint64_t id : ended)
            endLease(id);
        sleepSeconds(interval);
    }
}

Edge::Edge(const std::string &folder, std::string name, std::string zone, std::uint16_t storePort)
    : m_folder(folder), m_name(std::move(name)), m_port(freePorts(settingsPorts))
{
    const auto at = [this](int offset) { return "127.0.0.1:" + std::to_string(m_port + offset); };
    const Json settings = {
        {"NodeName", m_name},
        {"Role", "edge"},
        {"MachineClass", "edge"},
        {"Serves", {"edge", "registry"}},
        {"Ip", "127.0.0.1"},
        {"Zone", zone},
        {"Region", "pnw"},
        {"Zones", {{zone, "pnw"}}},
        {"ListenAddresses",
         {{"Frontend", at(0)},
          {"Ready", at(1)},
          {"ControlPlane", at(2)},
          {"DirectoryService", at(3)}}},
        {"InternalPortRange", {m_port + 4, m_port + settingsPorts - 1}},
        {"SeedNodes", Json::array()},
        {"Bootstrap", true},
        {"FailureCounted", false},
        {"Limits",
         {{"CpuQuota", 0.25},
          {"CpuCores", 1},
          {"MemoryMb", 110},
          {"MaxFds", 4100},
          {"LinkMbps", 1000.0},
          {"DiskMb", 0}}},
        {"DataDir", nullptr},
        {"Discovery", "platform"},
        {"EntryMode", "registry"},
        {"HeartbeatMs", 1200},
        {"Bounds",
         {{"SeedLagS", 3},
          {"ReuseAfterS", 2},
          {"StableWindowMs", 3000},
          {"AckTimeoutMs", 4000},
          {"CatchUpS", 4},
          {"DrainMs", 2000},
          {"GraceS", 8},
          {"LossSlackMs", 200},
          {"ConfigApplyMs", 2000},
          {"RollbackSlackMs", 250},
          {"MaxStretchMs", 5000},
          {"StrictRevocation", false},
          {"RevokeMs", 5000},
          {"RetryBudgetRatio", 0.2},
          {"BudgetWindowS", 10},
          {"RetryAllowance", 58},
          {"ColdOverrun", 1.5},
          {"ColdTolerance", 5},
          {"EvacuationMs", 5000},
          {"RecoveryS", 12},
          {"IterationMs", 120},
          {"ReuseWindowS", 6.3},
          {"ttl_max_s", 5}}},
        {"Platform",
         {{"Address", "127.0.0.1:" + std::to_string(storePort)},
          {"form", "kv"},
          {"WritesPerS", 400},
          {"ReadsPerS", 2000},
          {"HistoryS", 20},
          {"ValueBytes", 1048576},
          {"MinTtlMs", 1000}}},
    };
    std::ofstream(m_folder + "/" + m_name + ".json") << settings.dump(2) << '\n';
}

Edge::~Edge()
{
    kill();
}

bool Edge::start()
{
    const std::string file = m_folder + "/" + m_name + ".json";
    const std::string log = m_folder + "/" + m_name + ".log";
    m_pid = ::fork();
    if (m_pid == 0) {
        ::setenv("FESCUEWORKS_NODE_FILE", file.c_str(), 1);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl(program, program, static_cast<char *>(nullptr));
        ::_exit(127);
    }
    return m_pid > 0;
}

void Edge::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool Edge::ended(std::string &how)
{
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_pid = -1;
    how = WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                              : "with status " + std::to_string(WEXITSTATUS(status));
    return true;
}

bool Edge::waitReady(double seconds) const
{
    const double until = now() + seconds;
    while (now() < until) {
        const std::optional<int> fd = Connection::open(static_cast<std::uint16_t>(m_port + 1));
        if (fd) {
            Connection connection(*fd);
            connection.write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            const std::optional<Message> reply = connection.readHead();
            if (reply && reply->status() == 200)
                return true;
        }
        sleepSeconds(0.05);
    }
    return false;
}

void Edge::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
}

TemporaryFolder::TemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    m_path = name;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec);
}

std::string configuration()
{
    const Json engine = {
        {"Slots", 64},        {"KvCapacity", 34631}, {"KvBytes", 18432},
        {"LinkMbps", 2700.0}, {"Migrations", true},  {"Backups", true},
        {"Stride", 4},        {"most", 12},          {"PinMs", 4000.0},
        {"HoldMs", 2000.0},   {"HandleTtlS", 5.0},   {"Models", Json::array({{{"Name", "m"}}})}};
    const Json routes = Json::array({{{"Name", "r-stream"},
                                      {"Host", routeHost},
                                      {"Prefix", "/stream/"},
                                      {"RouteKind", "streaming"},
                                      {"TimeoutMs", 39000},
                                      {"TargetLatencyMs", 1800},
                                      {"Priority", 1},
                                      {"Service", "llm"},
                                      {"MaxAttempts", 1},
                                      {"Anonymous", false},
                                      {"SessionAffinity", true},
                                      {"StreamResumption", false},
                                      {"TargetItlMs", 180}},
                                     {{"Name", "r-once"},
                                      {"Host", routeHost},
                                      {"Prefix", "/once/"},
                                      {"RouteKind", "non_idempotent"},
                                      {"TimeoutMs", 1200},
                                      {"TargetLatencyMs", 150},
                                      {"Priority", 2},
                                      {"Service", "app"},
                                      {"MaxAttempts", 1},
                                      {"Anonymous", false}},
                                     {{"Name", "r-read"},
                                      {"Host", routeHost},
                                      {"Prefix", "/read/"},
                                      {"RouteKind", "idempotent"},
                                      {"TimeoutMs", 1200},
                                      {"TargetLatencyMs", 150},
                                      {"Priority", 2},
                                      {"Service", "app"},
                                      {"MaxAttempts", 2},
                                      {"Anonymous", false}}});
    const Json services = Json::array({{{"Name", "llm"},
                                        {"HealthPath", "/healthz"},
                                        {"MaxConnections", 442},
                                        {"Protocol", "h1"},
                                        {"Tls", false},
                                        {"ColdStartS", 1.0},
                                        {"ColdPerS", 30.0},
                                        {"Engine", engine}},
                                       {{"Name", "app"},
                                        {"HealthPath", "/healthz"},
                                        {"MaxConnections", 110},
                                        {"Protocol", "h1"},
                                        {"Tls", false},
                                        {"ColdStartS", 0.0},
                                        {"ColdPerS", 0.0}}});
    const Json config = {
        {"Version", 7},
        {"Routes", routes},
        {"Services", services},
        {"Limits",
         {{"MaxHeaderBytes", 16384},
          {"MaxBodyBytes", 4194304},
          {"HeaderTimeoutMs", 3000},
          {"IdleTimeoutMs", 15000}}},
        {"Tenants",
         Json::array(
             {{{"Name", "huka270"}, {"ApiKeys", Json::array({accountKey})}, {"Priority", 1}}})}};
    return config.dump();
}

std::string engineEntry(std::string_view service, std::string_view address, std::string_view state,
                        int slots, int sequence, std::int64_t born)
{
    const Json entry = {{"Service", service},   {"Address", address},  {"Zone", "pnw-a"},
                        {"Version", "v1"},      {"Slots", slots},      {"State", state},
                        {"ColdRemainingMs", 0}, {"Phase", "combined"}, {"Models", Json::array()},
                        {"Sequence", sequence}, {"born", born}};
    return entry.dump();
}

bool withTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view(text) != "0";
}

std::string callHead(std::string_view method, std::string_view path, std::string_view id,
                     int deadlineMillis, std::string_view moreHeaders)
{
    std::string head(method);
    head += ' ';
    head += path;
    head += " HTTP/1.1\r\nHost: ";
    head += routeHost;
    head += "\r\nX-Attempt-Id: ";
    head += id;
    head += "\r\nX-Deadline-Ms: " + std::to_string(deadlineMillis) + "\r\nAuthorization: Token ";
    head += accountKey;
    head += "\r\n";
    head += moreHeaders;
    head += "\r\n";
    return head;
}

} // namespace review
