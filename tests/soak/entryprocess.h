#pragma once

#include "fescue/core/clock.h"
#include "fescue/net/endpointaddress.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <sys/types.h>

namespace fescue::soak {

// What an entry process is given.
struct EntryOptions
{
    std::string program;
    // Folder for its settings and its log.
    std::string folder;
    std::string name;
    std::string zone;
    // An address of the loopback network of its own, so that processes have the same ports.
    std::string ip;
    net::Address store;
    // Limits of the VM in the settings; left out if 0.
    std::size_t memoryMegabytes = 0;
    std::size_t maxDescriptors = 0;
    // Descriptors that the kernel lets the process open; those of the test if 0.
    std::size_t openFileLimit = 0;
    // The settings have limits for roll-outs.
    bool hasRollouts = false;
};

// Tells whether a process handles a signal by itself, as the kernel shows it.
[[nodiscard]] bool handlesSignal(pid_t pid, int number);

// One real process of the system, driven by signals.
class EntryProcess
{
public:
    explicit EntryProcess(EntryOptions options);
    // Kills the process where it still runs.
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    // Writes the settings file. `generation` makes its text differ from the last one.
    void writeSettings(unsigned generation) const;
    // Writes any text in place of the settings.
    void writeSettingsText(std::string_view text) const;
    void removeSettings() const;
    // Returns the settings as writeSettings() writes them.
    [[nodiscard]] std::string settingsText(unsigned generation) const;
    // Starts the program. Throws std::system_error.
    void start();
    void signal(int number) const;
    // Looks whether the process has ended since the last call.
    [[nodiscard]] bool hasEnded();
    [[nodiscard]] bool isRunning() const noexcept { return m_pid > 0; }
    // Tells whether the process handles a signal by itself.
    [[nodiscard]] bool handles(int number) const;
    // Id of the process; 0 where it does not run.
    [[nodiscard]] pid_t pid() const noexcept { return m_pid; }
    // Makes the next start write to this descriptor in place of the log.
    void setOutput(int descriptor) noexcept { m_output = descriptor; }
    // How the process ended that ended last: its exit status, or the negative number of the signal
    // that ended it.
    [[nodiscard]] int lastStatus() const noexcept { return m_lastStatus; }
    // Memory that it uses, in bytes; 0 where it does not run.
    [[nodiscard]] std::uint64_t residentBytes() const;
    // The most memory that it has used since its start, in bytes; 0 where it does not run.
    [[nodiscard]] std::uint64_t peakResidentBytes() const;

    [[nodiscard]] const EntryOptions &options() const noexcept { return m_options; }
    // What the process has logged since its last start.
    [[nodiscard]] std::string logOfLife() const;
    [[nodiscard]] net::Address front() const { return {m_options.ip, frontPort}; }
    [[nodiscard]] net::Address ready() const { return {m_options.ip, readyPort}; }
    [[nodiscard]] net::Address metrics() const { return {m_options.ip, internalPort}; }
    // The second of its internal ports, for datagrams and copies between processes.
    [[nodiscard]] net::Address peer() const
    {
        return {m_options.ip, static_cast<std::uint16_t>(internalPort + 1)};
    }
    [[nodiscard]] net::Address directory() const { return {m_options.ip, directoryPort}; }
    [[nodiscard]] std::string logPath() const { return m_options.folder + '/' + name() + ".log"; }
    [[nodiscard]] const std::string &name() const noexcept { return m_options.name; }
    [[nodiscard]] std::string settingsPath() const
    {
        return m_options.folder + '/' + name() + ".json";
    }

private:
    static constexpr std::uint16_t frontPort = 8740;
    static constexpr std::uint16_t readyPort = 8749;
    static constexpr std::uint16_t directoryPort = 8746;
    static constexpr std::uint16_t internalPort = 7200;

    EntryOptions m_options;
    pid_t m_pid = 0;
    int m_lastStatus = 0;
    std::uint64_t m_logFrom = 0;
    int m_output = -1;
};

} // namespace fescue::soak
