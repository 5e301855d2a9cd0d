#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <thread>

namespace fescue::test {

// What a process holds at a time.
struct ProcessUse
{
    // Resident memory, and the bytes that the kernel has received for it and it has not read.
    std::uint64_t bytes = 0;
    // The same, with the bytes that it has sent and the kernel still holds.
    std::uint64_t bytesWithUnsent = 0;
    // Descriptors of sockets and pipes.
    std::size_t connections = 0;
};

// Returns the use of a process, all of whose sockets have the IP number.
[[nodiscard]] ProcessUse useOf(pid_t pid, const std::string &ip);

// Looks at a process several times a second and keeps the largest values.
class ProcessMeter
{
public:
    ProcessMeter(pid_t pid, std::string ip);
    ~ProcessMeter();
    ProcessMeter(const ProcessMeter &) = delete;
    ProcessMeter &operator=(const ProcessMeter &) = delete;

    [[nodiscard]] ProcessUse most() const noexcept
    {
        return {m_bytes, m_bytesWithUnsent, m_connections};
    }

private:
    void run(pid_t pid, const std::string &ip);

    std::atomic<bool> m_stopping {false};
    std::atomic<std::uint64_t> m_bytes {0};
    std::atomic<std::uint64_t> m_bytesWithUnsent {0};
    std::atomic<std::size_t> m_connections {0};
    std::thread m_thread;
};

} // namespace fescue::test
