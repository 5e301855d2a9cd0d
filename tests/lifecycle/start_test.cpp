#include "tests/lifecycle/edgesystem.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

namespace fescue::test {

namespace {

using boost::asio::ip::tcp;

// Time for which something that a start needs is missing.
constexpr Millis missingFor = 700_ms;

// Holds an address as an earlier process does that has not ended yet.
class HeldAddress
{
public:
    explicit HeldAddress(const net::Address &address)
        : m_acceptor(m_context, {boost::asio::ip::make_address(address.ip), address.port})
    { }

    void release() { m_acceptor.close(); }

private:
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
};

// Time within which a process ends that decides so, on a busy machine.
constexpr Millis endsWithin = 2_s;
// Bound on the time from a start to the first code of the program, on a busy machine.
constexpr std::chrono::milliseconds handledWithin {500};
// The users' GraceS, after which a process is killed.
constexpr Millis grace = 8_s;

std::string replaced(std::string text, std::string_view part, std::string_view replacement)
{
    text.replace(text.find(part), part.size(), replacement);
    return text;
}

bool waitForLog(const EdgeSystem &system, std::string_view part)
{
    constexpr int looks = 100;
    for (int n = 0; n < looks; ++n) {
        if (system.logOf(0).find(part) != std::string::npos)
            return true;
        sleepThread(100_ms);
    }
    return false;
}

void expectStartsLater(EdgeSystem &system, const std::function<void()> &complete)
{
    soak::EntryProcess &process = system.entry(0);
    process.start();
    sleepThread(missingFor);
    const bool endedEarly = process.hasEnded();
    EXPECT_FALSE(endedEarly) << "ended with status " << process.lastStatus();
    complete();
    EXPECT_TRUE(!endedEarly && system.waitUntilReady(0, 5_s)) << system.logOf(0);
}

} // namespace

// Guards against a process that ends because the one before it still holds an address.
TEST(Start, WaitsForAnAddressThatIsHeld)
{
    EdgeSystem system("start-held-address", 1);
    system.entry(0).writeSettings(1);
    HeldAddress held(system.entry(0).front());
    expectStartsLater(system, [&held] { held.release(); });
}

// Guards against a process that ends because its settings are being written at that moment.
TEST(Start, WaitsForWholeSettings)
{
    const std::vector<std::string> incomplete {"", "{\"NodeName\": \"entry-0\", \"Ip", "[]",
                                               "null"};
    for (const std::string &text : incomplete) {
        SCOPED_TRACE(text);
        EdgeSystem system("start-settings", 1);
        system.entry(0).writeSettingsText(text);
        expectStartsLater(system, [&system] { system.entry(0).writeSettings(1); });
    }
}

// Guards against a process that ends because its settings are not there yet.
TEST(Start, WaitsForAbsentSettings)
{
    EdgeSystem system("start-no-settings", 1);
    expectStartsLater(system, [&system] { system.entry(0).writeSettings(1); });
}

// Guards against a process that ends because the store is away while it starts.
TEST(Start, WaitsForTheStore)
{
    for (const soak::StoreMode mode :
         {soak::StoreMode::Unavailable, soak::StoreMode::Reset, soak::StoreMode::Hang}) {
        EdgeSystem system("start-store", 1);
        system.entry(0).writeSettings(1);
        system.setStoreMode(mode);
        expectStartsLater(system, [&system] { system.setStoreMode(soak::StoreMode::Serve); });
    }
}

// Guards against a process that is ended by the signal for changed settings while it starts. No
// code of the program runs before the loader has prepared it, so the signals are sent from the
// moment on at which the system tells that the program handles them, and that moment has a bound.
TEST(Start, KeepsRunningAtSignalsForChangedSettings)
{
    ASSERT_FALSE(soak::handlesSignal(getpid(), SIGHUP)) << "a new process would seem to handle it";
    EdgeSystem system("start-hup", 1);
    system.entry(0).writeSettings(1);
    constexpr int starts = 30;
    int ended = 0;
    std::vector<std::int64_t> windows;
    for (int n = 0; n < starts; ++n) {
        soak::EntryProcess &process = system.entry(0);
        const std::chrono::steady_clock::time_point begun = std::chrono::steady_clock::now();
        process.start();
        while (!process.handles(SIGHUP)) {
            ASSERT_LT(std::chrono::steady_clock::now() - begun, handledWithin) << "start " << n;
            ASSERT_FALSE(process.hasEnded()) << "start " << n;
        }
        windows.push_back(std::chrono::duration_cast<std::chrono::microseconds>(
                              std::chrono::steady_clock::now() - begun)
                              .count());
        sleepThread(Millis {n});
        process.signal(SIGHUP);
        sleepThread(60_ms);
        if (process.hasEnded()) {
            ++ended;
            std::cout << "SIGHUP " << n << " ms after the first code: ended with "
                      << process.lastStatus() << '\n';
            continue;
        }
        process.signal(SIGKILL);
        ASSERT_TRUE(system.waitUntilEnded(0));
    }
    std::sort(windows.begin(), windows.end());
    std::cout << "from the start to the handler: median " << windows[windows.size() / 2]
              << " us, longest " << windows.back() << " us\n";
    EXPECT_EQ(ended, 0);
}

// Guards against signals that the program handles only after it has read its settings and started
// its threads: the settings are a pipe that nobody writes to, so reading them takes for ever.
TEST(Start, HandlesSignalsBeforeItReadsItsSettings)
{
    EdgeSystem system("start-early", 1);
    soak::EntryProcess &process = system.entry(0);
    ASSERT_EQ(mkfifo(process.settingsPath().c_str(), S_IRUSR | S_IWUSR), 0);
    process.start();
    sleepThread(Millis {handledWithin.count()});
    EXPECT_TRUE(process.handles(SIGHUP));
    process.signal(SIGHUP);
    sleepThread(60_ms);
    EXPECT_FALSE(process.hasEnded()) << "ended with " << process.lastStatus();
}

// Guards against a process that ends because its port for datagrams is held.
TEST(Start, WaitsForADatagramAddressThatIsHeld)
{
    EdgeSystem system("start-held-datagrams", 1);
    system.entry(0).writeSettings(1);
    boost::asio::io_context context;
    const net::Address address = system.entry(0).peer();
    boost::asio::ip::udp::socket held(context,
                                      {boost::asio::ip::make_address(address.ip), address.port});
    expectStartsLater(system, [&held] { held.close(); });
    EXPECT_NE(system.logOf(0).find("event=start-wait for=address"), std::string::npos);
}

// Guards against a start that goes on with an address that the settings no longer have.
TEST(Start, TakesSettingsThatChangeWhileItWaits)
{
    EdgeSystem system("start-changed-settings", 1);
    soak::EntryProcess &process = system.entry(0);
    const HeldAddress held(process.front());
    process.writeSettings(1);
    process.start();
    sleepThread(missingFor);
    process.writeSettingsText(replaced(process.settingsText(2), ":8740", ":8741"));
    process.signal(SIGHUP);
    EXPECT_TRUE(system.waitUntilReady(0, 5_s)) << system.logOf(0);
    EXPECT_NE(system.logOf(0).find(":8741 "), std::string::npos);
}

// Guards against a process that waits on although it is told to stop.
TEST(Start, EndsAtOnceWhenStoppedWhileItWaits)
{
    const std::vector<bool> settingsThere {false, true};
    for (const bool isThere : settingsThere) {
        SCOPED_TRACE(isThere ? "address held" : "settings absent");
        EdgeSystem system("start-stopped", 1);
        soak::EntryProcess &process = system.entry(0);
        const HeldAddress held(process.front());
        if (isThere)
            process.writeSettings(1);
        process.start();
        sleepThread(missingFor);
        process.signal(SIGTERM);
        EXPECT_TRUE(system.waitUntilEnded(0, endsWithin));
        EXPECT_EQ(process.lastStatus(), 0);
        EXPECT_NE(system.logOf(0).find("event=ended reason=signal phase=start status=0"),
                  std::string::npos)
            << system.logOf(0);
    }
}

// Guards against a process that waits for ever for what only a person can correct.
TEST(Start, EndsAtSettingsThatCanNeverBecomeRight)
{
    EdgeSystem system("start-wrong", 1);
    soak::EntryProcess &process = system.entry(0);
    const std::string whole = process.settingsText(1);
    const std::vector<std::string> wrong {replaced(whole, ":8749", ":8740"),
                                          replaced(whole, "\"Zone\"", "\"Zonk\""), "{}"};
    for (const std::string &text : wrong) {
        SCOPED_TRACE(text);
        process.writeSettingsText(text);
        process.start();
        ASSERT_TRUE(system.waitUntilEnded(0, endsWithin));
        EXPECT_EQ(process.lastStatus(), 2);
        EXPECT_NE(system.logOf(0).find(process.settingsPath() + ": "), std::string::npos);
    }
}

// Guards against settings that are never read because they were torn when they were looked at and
// completed within the same step of the file system's clock.
TEST(Reload, ReadsSettingsThatWereTornAtTheSignal)
{
    EdgeSystem system("reload-torn", 1);
    system.startAll();
    soak::EntryProcess &process = system.entry(0);
    const std::string whole = process.settingsText(2);
    std::ofstream(process.settingsPath()) << whole.substr(0, whole.size() / 2);
    const std::filesystem::file_time_type tick =
        std::filesystem::last_write_time(process.settingsPath());
    process.signal(SIGHUP);
    ASSERT_TRUE(waitForLog(system, "event=reload-rejected trigger=signal"));
    std::ofstream(process.settingsPath()) << whole;
    std::filesystem::last_write_time(process.settingsPath(), tick);
    EXPECT_TRUE(waitForLog(system, "event=reloaded")) << system.logOf(0);
}

// Guards against a second signal that ends a stop, or a reload during it.
TEST(Stop, FurtherSignalsChangeNothing)
{
    EdgeSystem system("stop-signals", 1);
    system.startAll();
    soak::EntryProcess &process = system.entry(0);
    process.signal(SIGTERM);
    for (int n = 0; n < 3; ++n) {
        sleepThread(100_ms);
        for (const int number : {SIGTERM, SIGINT, SIGHUP})
            process.signal(number);
    }
    EXPECT_FALSE(system.waitUntilEnded(0, 1_s)) << "ended with " << process.lastStatus();
    ASSERT_TRUE(system.waitUntilEnded(0));
    EXPECT_EQ(process.lastStatus(), 0);
    const std::string log = system.logOf(0);
    EXPECT_NE(log.find("event=ended reason=signal phase=stop status=0 open=0"), std::string::npos);
    EXPECT_NE(log.find("event=signal-ignored signal=SIGHUP"), std::string::npos) << log;
    EXPECT_EQ(log.find("event=reloaded"), std::string::npos);
}

// Guards against a process that is killed at the end of its grace because nobody reads its log.
TEST(Stop, EndsWhenNobodyReadsTheLog)
{
    for (const bool readerThere : {true, false}) {
        SCOPED_TRACE(readerThere ? "reader stalled" : "reader gone");
        EdgeSystem system("stop-stalled-log", 1);
        std::array<int, 2> ends {};
        ASSERT_EQ(pipe2(ends.data(), O_CLOEXEC), 0);
        const std::string rest(static_cast<std::size_t>(fcntl(ends[1], F_GETPIPE_SZ)), 'x');
        ASSERT_EQ(write(ends[1], rest.data(), rest.size()), static_cast<ssize_t>(rest.size()));
        if (!readerThere)
            close(ends[0]);
        system.entry(0).setOutput(ends[1]);
        system.startAll();
        system.entry(0).signal(SIGTERM);
        const std::optional<Millis> took = system.waitUntilEnded(0);
        EXPECT_TRUE(took && *took < grace);
        EXPECT_EQ(system.entry(0).lastStatus(), 0);
        if (readerThere)
            close(ends[0]);
        close(ends[1]);
    }
}

} // namespace fescue::test
