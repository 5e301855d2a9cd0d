#pragma once

#include "fescue/net.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

namespace fescue::standins {

using Json = nlohmann::json;

// Options that every stand-in has.
struct StandInOptions
{
    std::string listen = "127.0.0.1:0";
    std::string portFile;

    void addTo(CLI::App &app)
    {
        app.add_option("--listen", listen, "IP number and port; port 0 takes a free one");
        app.add_option("--port-file", portFile, "file that gets the address once it listens");
    }
};

[[nodiscard]] inline Millis steadyNow()
{
    return SteadyClock {}.now();
}

// Reads a decimal number from the front of the text; 0 where there is none.
[[nodiscard]] inline std::uint64_t toNumber(std::string_view text)
{
    return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

inline void sendJson(net::ResponseWriter &writer, const Json &json, int status = 200)
{
    static_cast<void>(writer.send(net::jsonResponse(status, json.dump())));
}

// Keeps the caller waiting for an answer that does not come, until it leaves.
inline void hang(net::ResponseWriter &writer)
{
    while (!writer.callerGone())
        net::sleepFor(10_ms);
    writer.abort();
}

// Writes the file in one step, so that a reader finds either nothing or the whole address.
inline void writePortFile(const std::string &path, const net::Address &address)
{
    const std::string partial = path + ".partial";
    std::ofstream(partial) << address.toString() << '\n';
    std::filesystem::rename(partial, path);
}

// Serves until SIGTERM or SIGINT, on one worker, so that handlers need no locks. Returns the exit
// status of the program.
inline int serve(const StandInOptions &options, const net::HttpServer::Handler &handler,
                 const std::function<void()> &background = {})
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const Result<net::Address> address = net::parseAddress(options.listen);
    if (!address) {
        std::cerr << address.error().toString() << '\n';
        return EXIT_FAILURE;
    }
    net::WorkerPool pool(1);
    net::HttpServer server(pool, *address, {}, handler);
    if (const Result<void> started = server.start(); !started) {
        std::cerr << started.error().toString() << '\n';
        return EXIT_FAILURE;
    }
    if (background)
        pool.spawn(0, background);
    if (!options.portFile.empty())
        writePortFile(options.portFile, server.address());
    std::cout << "listening on " << server.address().toString() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return EXIT_SUCCESS;
}

} // namespace fescue::standins
