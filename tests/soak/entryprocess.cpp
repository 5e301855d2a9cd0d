#include "tests/soak/entryprocess.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace fescue::soak {

using Json = nlohmann::json;

namespace {

constexpr int logMode = 0644;
constexpr int exitNotStarted = 127;

std::string at(const std::string &ip, std::uint16_t port)
{
    return ip + ':' + std::to_string(port);
}

} // namespace

bool handlesSignal(pid_t pid, int number)
{
    constexpr std::string_view key = "SigCgt:";
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(key))
            return (std::stoull(line.substr(key.size()), nullptr, 16) >> (number - 1) & 1) != 0;
    }
    return false;
}

EntryProcess::EntryProcess(EntryOptions options) : m_options(std::move(options)) { }

EntryProcess::~EntryProcess()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

std::string EntryProcess::settingsText(unsigned generation) const
{
    const std::string &ip = m_options.ip;
    Json bounds = {{"GraceS", 8},          {"ttl_max_s", 5},          {"ColdOverrun", 1.5},
                   {"ColdTolerance", 5},   {"RetryBudgetRatio", 0.2}, {"RetryAllowance", 58},
                   {"BudgetWindowS", 10.0}};
    if (m_options.hasRollouts) {
        bounds["ExposureShare"] = 0.1;
        bounds["ExposureTolerance"] = 50;
        bounds["RollbackMs"] = 5000;
    }
    Json limits = {{"LinkMbps", 1000.0}};
    if (m_options.memoryMegabytes > 0)
        limits["MemoryMb"] = m_options.memoryMegabytes;
    if (m_options.maxDescriptors > 0)
        limits["MaxFds"] = m_options.maxDescriptors;
    const Json json = {{"NodeName", name()},
                       {"Ip", ip},
                       {"Zone", m_options.zone},
                       {"Region", "soak"},
                       {"ListenAddresses",
                        {{"Frontend", at(ip, frontPort)},
                         {"Ready", at(ip, readyPort)},
                         {"DirectoryService", at(ip, directoryPort)}}},
                       {"InternalPortRange", {internalPort, internalPort + 15}},
                       {"Limits", limits},
                       {"Platform", {{"Address", m_options.store.toString()}}},
                       {"Generation", generation},
                       {"Bounds", bounds}};
    return json.dump(2) + '\n';
}

void EntryProcess::writeSettings(unsigned generation) const
{
    writeSettingsText(settingsText(generation));
}

void EntryProcess::writeSettingsText(std::string_view text) const
{
    const std::string partial = settingsPath() + ".partial";
    std::ofstream(partial) << text;
    std::filesystem::rename(partial, settingsPath());
}

void EntryProcess::removeSettings() const
{
    std::filesystem::remove(settingsPath());
}

void EntryProcess::start()
{
    const std::string variable = "FESCUEWORKS_NODE_FILE=" + settingsPath();
    const int log = open(logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logMode);
    if (log < 0)
        throw std::system_error(errno, std::generic_category(), logPath());
    m_logFrom = static_cast<std::uint64_t>(lseek(log, 0, SEEK_END));
    const std::array<char *, 2> arguments {m_options.program.data(), nullptr};
    std::string environment = variable;
    const std::array<char *, 2> variables {environment.data(), nullptr};
    const pid_t pid = fork();
    if (pid < 0)
        throw std::system_error(errno, std::generic_category(), "fork");
    if (pid == 0) {
        // Ends with the soak, whatever ends that.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        // A soak without a terminal may ignore it, which the program would take over.
        std::signal(SIGHUP, SIG_DFL);
        dup2(m_output >= 0 ? m_output : log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        // Connections of the soak must not stay open here after it has closed them.
        close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(), 0);
        if (m_options.openFileLimit > 0) {
            const rlimit openFiles {m_options.openFileLimit, m_options.openFileLimit};
            setrlimit(RLIMIT_NOFILE, &openFiles);
        }
        execve(arguments[0], arguments.data(), variables.data());
        _exit(exitNotStarted);
    }
    close(log);
    m_pid = pid;
}

void EntryProcess::signal(int number) const
{
    if (isRunning())
        kill(m_pid, number);
}

bool EntryProcess::handles(int number) const
{
    return isRunning() && handlesSignal(m_pid, number);
}

std::string EntryProcess::logOfLife() const
{
    std::ifstream file(logPath());
    file.seekg(static_cast<std::streamoff>(m_logFrom));
    return {std::istreambuf_iterator<char>(file), {}};
}

bool EntryProcess::hasEnded()
{
    int status = 0;
    if (!isRunning() || waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_pid = 0;
    m_lastStatus = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
    return true;
}

std::uint64_t EntryProcess::residentBytes() const
{
    if (!isRunning())
        return 0;
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    file >> size >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t EntryProcess::peakResidentBytes() const
{
    if (!isRunning())
        return 0;
    constexpr std::string_view field = "VmHWM:";
    constexpr std::uint64_t bytesPerKilobyte = 1024;
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string name; file >> name;) {
        std::uint64_t kilobytes = 0;
        if (name == field && file >> kilobytes)
            return kilobytes * bytesPerKilobyte;
    }
    return 0;
}

} // namespace fescue::soak
