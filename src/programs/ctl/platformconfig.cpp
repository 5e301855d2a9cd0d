#include "platformconfig.h"

#include "fescue/config/errorlist.h"
#include "fescue/serving/configcheck.h"
#include "platform/codec.h"
#include "platform/configfile.h"
#include "report.h"

#include <optional>

namespace fescue::ctl {

namespace {

using serving::ConfigFinding;
using serving::ServingConfig;

constexpr std::size_t bytesPerMegabyte = std::size_t {1024} * 1024;

Result<ServingConfig> readConfigFile(const std::string &path)
{
    const Result<std::string> text = readTextFile(path);
    if (!text)
        return tl::unexpected<Error>(text.error());
    Result<ServingConfig> config = platform::decodeConfig(*text);
    if (!config)
        return fail(config.error().code, path + ": " + config.error().message);
    return config;
}

} // namespace

bool isPlatformConfig(const Options &options)
{
    return options.paths.size() == 1 && options.paths[0].ends_with(".json");
}

ExitCode checkPlatformConfig(const Options &options)
{
    const Result<ServingConfig> config = readConfigFile(options.paths[0]);
    if (!config) {
        reportError(options, config.error());
        return ExitCode::Invalid;
    }
    std::optional<std::vector<std::string>> changes;
    if (!options.against.empty()) {
        const bool isStore = options.against == "store";
        const Result<ServingConfig> before = isStore
            ? platform::fetchConfig({options.store.ip, options.store.port}, options.storeTimeout)
            : readConfigFile(options.against);
        if (!before) {
            reportError(options, before.error());
            return isStore ? ExitCode::StoreUnreachable : ExitCode::Invalid;
        }
        changes = serving::describeChanges(*before, *config);
    }
    const std::vector<ConfigFinding> findings =
        serving::checkConfig(*config, options.memoryMegabytes * bytesPerMegabyte);
    reportFindings(options, config->version, findings, changes);
    return findings.empty() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace fescue::ctl
