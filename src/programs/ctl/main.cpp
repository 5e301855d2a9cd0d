#include "commands.h"
#include "fescue/config/sectionreader.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

using namespace fescue;
using fescue::ctl::Command;
using fescue::ctl::ExitCode;
using fescue::ctl::Options;

// Texts of the command line before they are read.
struct RawOptions
{
    std::string store;
    std::string timeout = "1s";
    std::uint64_t baseVersion = 0;
    std::string key;
};

constexpr const char *footer = "Exit codes: 0 done, 1 error, 2 usage or validation, 3 another "
                               "version was published, 4 store unreachable or outcome unknown, "
                               "5 not in force everywhere in time. check NAME.json: 0 clean, 1 "
                               "findings, 2 not readable.";

class CommandLine
{
public:
    CommandLine()
    {
        m_app.set_version_flag("--version", std::string("fescuectl ") + FESCUE_VERSION);
        m_app.footer(footer);
        m_app.require_subcommand(1);
        m_app.fallthrough();
        m_app.add_option("--store", m_raw.store, "address of the key-value service, IP:PORT")
            ->envname("FESCUE_STORE");
        m_app.add_option("--timeout", m_raw.timeout, "time for one call of the store, as in 1s");
        m_app.add_flag("--json", m_options.json, "print JSON");
        addFileCommands();
        addStateCommands("zone", Command::ZoneOut, Command::ZoneIn);
        addStateCommands("vm", Command::VmOut, Command::VmIn);
        add(m_app, "status", "print the published version and who has it in force",
            Command::Status);
        CLI::App *hash =
            add(m_app, "hash-key", "print the hash of an account key", Command::HashKey);
        m_key = hash->add_option("KEY", m_raw.key, "the key; without it, a line of standard input");
    }

    // Returns the options, or the exit code to end with.
    tl::expected<Options, ExitCode> parse(int argc, char **argv)
    {
        try {
            m_app.parse(argc, argv);
        } catch (const CLI::ParseError &error) {
            const bool wanted = m_app.exit(error) == 0;
            return tl::unexpected<ExitCode>(wanted ? ExitCode::Ok : ExitCode::Invalid);
        }
        const Result<void> completed = complete();
        if (completed)
            return m_options;
        std::cerr << "fescuectl: " << completed.error().message << '\n';
        return tl::unexpected<ExitCode>(ExitCode::Invalid);
    }

private:
    CLI::App *add(CLI::App &parent, const std::string &name, const std::string &text,
                  Command command)
    {
        CLI::App *sub = parent.add_subcommand(name, text);
        sub->callback([this, command] { m_options.command = command; });
        return sub;
    }

    void addPaths(CLI::App *sub)
    {
        sub->add_option("PATH", m_options.paths,
                        "service files, and directories to search for *.fescue.ini")
            ->required();
    }

    void addFileCommands()
    {
        CLI::App *check =
            add(m_app, "check", "check service files, or one NAME.json of the platform",
                Command::Check);
        addPaths(check);
        check->add_option(
            "--against", m_options.against,
            "with NAME.json: tell what differs from this file, or from the \"store\"");
        check->add_option("--memory-mb", m_options.memoryMegabytes,
                          "with NAME.json: memory of the smallest process");
        addPaths(add(m_app, "diff", "print what publishing would change", Command::Diff));
        CLI::App *publish = add(m_app, "publish", "publish service files", Command::Publish);
        addPaths(publish);
        m_base = publish->add_option("--base-version", m_raw.baseVersion,
                                     "publish only on top of this version");
        publish->add_flag("--no-wait", m_options.noWait, "do not wait for the daemons");
    }

    void addStateCommands(const std::string &kind, Command out, Command in)
    {
        CLI::App *parent = m_app.add_subcommand(kind, "take a " + kind + " out of or into service");
        parent->require_subcommand(1);
        parent->fallthrough();
        CLI::App *outCommand = add(*parent, "out", "give it no new work", out);
        CLI::App *inCommand = add(*parent, "in", "give it work again", in);
        for (CLI::App *sub : {outCommand, inCommand}) {
            sub->add_option("NAME", m_options.name, "name of the " + kind)->required();
            sub->add_flag("--no-wait", m_options.noWait, "do not wait for the daemons");
        }
    }

    Result<void> complete()
    {
        if (m_base->count() > 0)
            m_options.baseVersion = ConfigVersion {m_raw.baseVersion};
        if (m_key->count() > 0)
            m_options.key = m_raw.key;
        const Result<Millis> timeout = parseDuration(m_raw.timeout);
        if (!timeout)
            return tl::unexpected<Error>(timeout.error());
        m_options.storeTimeout = *timeout;
        const bool isConfig = m_options.paths.size() == 1 && m_options.paths[0].ends_with(".json");
        const bool hasConfigOptions = !m_options.against.empty() || m_options.memoryMegabytes > 0;
        if (m_options.command == Command::Check && !isConfig && hasConfigOptions)
            return fail(ResultCode::ConfigBadValue,
                        "--against and --memory-mb are for one file NAME.json");
        const bool offline = (m_options.command == Command::Check && m_options.against != "store")
            || m_options.command == Command::HashKey;
        if (offline)
            return {};
        if (m_raw.store.empty())
            return fail(ResultCode::ConfigMissing, "--store IP:PORT is required");
        const Result<HostPort> store = parseHostPort(m_raw.store);
        if (!store)
            return tl::unexpected<Error>(store.error());
        m_options.store = *store;
        return {};
    }

    CLI::App m_app {"Checks and publishes the configuration of fescueworks."};
    RawOptions m_raw;
    Options m_options;
    CLI::Option *m_base = nullptr;
    CLI::Option *m_key = nullptr;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        CommandLine line;
        const tl::expected<Options, ExitCode> options = line.parse(argc, argv);
        return static_cast<int>(options ? fescue::ctl::run(*options) : options.error());
    } catch (const std::exception &error) {
        std::cerr << "fescuectl: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failed);
    }
}
