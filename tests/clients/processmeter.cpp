#include "tests/clients/processmeter.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/asio/ip/address_v4.hpp>
#include <unistd.h>

namespace fescue::test {

namespace {

constexpr std::chrono::milliseconds meterInterval {20};

std::uint64_t residentBytes(const std::string &folder)
{
    std::ifstream file(folder + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    file >> size >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

// Bytes that the kernel holds for connections.
struct QueuedBytes
{
    std::uint64_t unread = 0;
    std::uint64_t unsent = 0;
};

// Adds up the queues of the connections at an IP number.
QueuedBytes queuedBytes(const std::string &ip)
{
    const std::uint32_t number = boost::asio::ip::make_address_v4(ip).to_uint();
    // The table has the number in the order of the network.
    std::array<char, 9> local {};
    std::snprintf(local.data(), local.size(), "%08X", __builtin_bswap32(number));
    constexpr std::string_view listening = "0A";
    std::ifstream file("/proc/net/tcp");
    QueuedBytes bytes;
    std::string line;
    std::getline(file, line);
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string address;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> slot >> address >> remote >> state >> queues;
        const std::size_t colon = queues.find(':');
        if (!address.starts_with(local.data()) || state == listening || colon == std::string::npos)
            continue;
        bytes.unsent += std::stoull(queues.substr(0, colon), nullptr, 16);
        bytes.unread += std::stoull(queues.substr(colon + 1), nullptr, 16);
    }
    return bytes;
}

std::size_t openConnections(const std::string &folder)
{
    std::size_t n = 0;
    std::error_code ec;
    for (std::filesystem::directory_iterator it(folder + "/fd", ec);
         !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
        std::error_code gone;
        const std::string target = std::filesystem::read_symlink(it->path(), gone).string();
        n += target.starts_with("socket:") || target.starts_with("pipe:");
    }
    return n;
}

} // namespace

ProcessUse useOf(pid_t pid, const std::string &ip)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    const QueuedBytes queued = queuedBytes(ip);
    const std::uint64_t bytes = residentBytes(folder) + queued.unread;
    return {bytes, bytes + queued.unsent, openConnections(folder)};
}

ProcessMeter::ProcessMeter(pid_t pid, std::string ip)
    : m_thread([this, pid, ip = std::move(ip)] { run(pid, ip); })
{ }

ProcessMeter::~ProcessMeter()
{
    m_stopping = true;
    m_thread.join();
}

void ProcessMeter::run(pid_t pid, const std::string &ip)
{
    while (!m_stopping) {
        const ProcessUse use = useOf(pid, ip);
        m_bytes = std::max<std::uint64_t>(m_bytes, use.bytes);
        m_bytesWithUnsent = std::max<std::uint64_t>(m_bytesWithUnsent, use.bytesWithUnsent);
        m_connections = std::max<std::size_t>(m_connections, use.connections);
        std::this_thread::sleep_for(meterInterval);
    }
}

} // namespace fescue::test
