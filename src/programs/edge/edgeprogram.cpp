#include "edgeprogram.h"

#include "fescue/observe/log.h"
#include "fescue/observe/processmemory.h"
#include "fescue/observe/timeline.h"
#include "signalinbox.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <mutex>

#include <boost/asio/buffer.hpp>

namespace fescue {

using serving::ServingState;

namespace {

constexpr int exitUsage = 2;

// How often the settings file is looked at, since it may change without a signal.
constexpr Millis settingsPollInterval = 2_s;

} // namespace

EdgeProgram::EdgeProgram(std::string settingsFile)
    : m_source(std::move(settingsFile)), m_incarnation {static_cast<std::uint64_t>(
                                             observe::wallMillisNow())},
      m_pool(1), m_signals(m_pool.context(0))
{ }

std::string_view EdgeProgram::toString(Phase phase) noexcept
{
    switch (phase) {
    case Phase::Start:
        return "start";
    case Phase::Serving:
        return "serving";
    case Phase::Stop:
        return "stop";
    }
    return "start";
}

int EdgeProgram::run()
{
    // The worker handles the signals, so this thread need not wake for them.
    const SignalBlock block;
    m_pool.spawn(0, [this] { start(); });
    m_pool.join();
    static_cast<void>(observe::flushLog(observe::logFlushLimit));
    return m_status;
}

void EdgeProgram::start()
{
    boost::system::error_code ec;
    m_signals.assign(SignalInbox::descriptor(), ec);
    if (ec) {
        observe::logChange(observe::LogLevel::Error, "signals-polled",
                           {{"reason", std::string_view(ec.message())}});
    } else {
        awaitSignal();
    }
    m_pool.spawn(0, [this] { followSettings(); });
    handleSignals();
    while (!m_stopCameAt) {
        const Result<void> started = tryStart();
        if (started) {
            m_phase = Phase::Serving;
            return;
        }
        if (serving::stepAfter(started.error()) == serving::StartStep::End) {
            endAfter(started.error());
            return;
        }
        waitAfter(started.error());
    }
    end(EXIT_SUCCESS, "signal");
}

Result<void> EdgeProgram::tryStart()
{
    if (Result<void> read = readSettings(); !read)
        return read;
    return m_daemon->start();
}

Result<void> EdgeProgram::readSettings()
{
    if (m_settings && !m_source.isStale())
        return {};
    const Result<serving::NodeSettings> settings = m_source.read();
    if (!settings && m_settings) {
        rejectSettings("start", settings.error());
        return {};
    }
    if (!settings) {
        logStarting("settings");
        return tl::unexpected<Error>(settings.error());
    }
    if (m_settings != *settings)
        replaceDaemon(*settings);
    return {};
}

void EdgeProgram::replaceDaemon(const serving::NodeSettings &settings)
{
    observe::renameLog(settings.name.text());
    logStarting("nothing");
    if (m_daemon) {
        m_daemon->stopListening();
        m_replaced.push_back(std::move(m_daemon));
    }
    m_settings = settings;
    m_daemon = std::make_unique<Daemon>(settings, m_pool, m_incarnation);
    for (const std::pair<const std::string, std::uint64_t> &waits : m_startWaits)
        m_daemon->countStartWaits(waits.first, waits.second);
}

void EdgeProgram::logStarting(std::string_view waitsFor)
{
    if (m_startingLogged)
        return;
    m_startingLogged = true;
    observe::logChange(
        "starting",
        {{"version", FESCUE_VERSION}, {"settings", m_source.path()}, {"waits_for", waitsFor}});
}

void EdgeProgram::waitAfter(const Error &error)
{
    const std::string missing(serving::waitReason(error));
    ++m_startWaits[missing];
    if (m_daemon)
        m_daemon->countStartWaits(missing, 1);
    const Millis now = ServingState::now();
    const std::string reason = error.toString();
    if (m_startPace.recordFailure(now, reason)) {
        observe::logChange(observe::LogLevel::Warning, "start-wait",
                           {{"for", missing},
                            {"reason", reason},
                            {"tries", m_startPace.failures()},
                            {"waited_ms", m_startPace.failingFor(now).count}});
    }
    std::unique_lock<boost::fibers::mutex> lock(m_wakeMutex);
    m_wake.wait_for(lock, std::chrono::milliseconds(m_startPace.pause().count));
}

void EdgeProgram::endAfter(Error error)
{
    if (error.position.file.empty())
        error.position.file = m_source.path();
    std::cerr << error.toString() << '\n';
    end(exitUsage, error.toString());
}

void EdgeProgram::awaitSignal()
{
    m_signals.async_read_some(boost::asio::buffer(m_signalBytes),
                              [this](const boost::system::error_code &ec, std::size_t) {
                                  if (ec == boost::asio::error::operation_aborted)
                                      return;
                                  if (ec) {
                                      observe::logChange(observe::LogLevel::Error, "signals-polled",
                                                         {{"reason", ec.message()}});
                                  } else {
                                      awaitSignal();
                                  }
                                  handleSignals();
                              });
}

void EdgeProgram::handleSignals()
{
    if (SignalInbox::take(SIGHUP))
        handleChangedSettings();
    if (const std::optional<Millis> cameAt = SignalInbox::take(SIGTERM))
        handleStop("SIGTERM", *cameAt);
    if (const std::optional<Millis> cameAt = SignalInbox::take(SIGINT))
        handleStop("SIGINT", *cameAt);
}

void EdgeProgram::handleStop(std::string_view signal, Millis cameAt)
{
    if (m_stopCameAt) {
        if (!m_lateStopLogged)
            observe::logChange("signal-ignored", {{"signal", signal}, {"reason", "stopping"}});
        m_lateStopLogged = true;
        return;
    }
    m_stopCameAt = cameAt;
    if (m_phase == Phase::Serving)
        m_stopCameAt = std::min(cameAt, m_daemon->earliestSignalTime(ServingState::now()));
    if (m_phase == Phase::Start) {
        m_wake.notify_all();
        return;
    }
    m_phase = Phase::Stop;
    m_pool.spawn(0, [this] {
        m_daemon->drain(*m_stopCameAt);
        end(EXIT_SUCCESS, "signal");
    });
}

void EdgeProgram::handleChangedSettings()
{
    if (m_phase == Phase::Serving) {
        reload("signal");
        return;
    }
    if (m_phase == Phase::Start) {
        m_wake.notify_all();
        return;
    }
    if (!m_lateChangeLogged)
        observe::logChange("signal-ignored", {{"signal", "SIGHUP"}, {"reason", "stopping"}});
    m_lateChangeLogged = true;
}

void EdgeProgram::followSettings()
{
    while (m_phase != Phase::Stop) {
        net::sleepFor(settingsPollInterval);
        // For signals whose wake-up was lost.
        handleSignals();
        if (m_phase == Phase::Serving && m_source.isStale())
            reload("file changed");
    }
}

void EdgeProgram::reload(std::string_view trigger)
{
    const Result<serving::NodeSettings> settings = m_source.read();
    if (!settings) {
        rejectSettings(trigger, settings.error());
        return;
    }
    m_rejectedPace.reset();
    m_daemon->reload(*settings, trigger);
}

void EdgeProgram::rejectSettings(std::string_view trigger, const Error &error)
{
    const std::string reason = error.toString();
    if (!m_rejectedPace.recordFailure(ServingState::now(), reason) && trigger != "signal")
        return;
    observe::logChange(
        observe::LogLevel::Error, "reload-rejected",
        {{"trigger", trigger}, {"reason", reason}, {"tries", m_rejectedPace.failures()}});
}

void EdgeProgram::end(int status, std::string_view reason)
{
    const observe::ProcessMemory memory = observe::processMemory();
    observe::logChange("ended",
                       {{"reason", reason},
                        {"phase", toString(m_phase)},
                        {"status", status},
                        {"open", m_daemon ? m_daemon->openRequests() : 0},
                        {"resident_kb", memory.residentKilobytes},
                        {"peak_kb", memory.peakKilobytes}});
    m_status = status;
    m_pool.stop();
}

} // namespace fescue
