#include "tests/lifecycle/edgesystem.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <gtest/gtest.h>

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

// Guards against a process that is ended by the signal for changed settings while it starts.
TEST(Start, KeepsRunningAtSignalsForChangedSettings)
{
    EdgeSystem system("start-hup", 1);
    system.entry(0).writeSettings(1);
    constexpr int starts = 30;
    int ended = 0;
    for (int n = 0; n < starts; ++n) {
        soak::EntryProcess &process = system.entry(0);
        process.start();
        sleepThread(Millis {n});
        process.signal(SIGHUP);
        sleepThread(60_ms);
        if (process.hasEnded()) {
            ++ended;
            std::cout << "SIGHUP " << n << " ms after the start: ended with "
                      << process.lastStatus() << '\n';
            continue;
        }
        process.signal(SIGKILL);
        ASSERT_TRUE(system.waitUntilEnded(0));
    }
    EXPECT_EQ(ended, 0);
}

} // namespace fescue::test
