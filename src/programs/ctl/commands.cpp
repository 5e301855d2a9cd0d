#include "commands.h"

#include "fescue/config/accountkeys.h"
#include "fescue/tools.h"
#include "platformconfig.h"
#include "report.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace fescue::ctl {

namespace {

using tools::BlockingStore;
using tools::CurrentConfig;
using tools::MemberStatus;
using tools::OnConflict;
using tools::Published;
using tools::PublishFailure;
using tools::PublishRequest;

BlockingStore storeOf(const Options &options)
{
    return {options.store, options.storeTimeout};
}

ExitCode exitCodeOf(ResultCode code) noexcept
{
    switch (code) {
    case ResultCode::ConfigVersionConflict:
    case ResultCode::StoreConflict:
        return ExitCode::VersionConflict;
    case ResultCode::ConnectFailed:
    case ResultCode::StoreTimeout:
    case ResultCode::StoreUnavailable:
    case ResultCode::OutcomeUnknown:
        return ExitCode::StoreUnreachable;
    case ResultCode::ConfigMissing:
    case ResultCode::ConfigBadValue:
    case ResultCode::ConfigTooLarge:
        return ExitCode::Invalid;
    default:
        return ExitCode::Failed;
    }
}

ExitCode failWith(const Options &options, const Error &error)
{
    reportError(options, error);
    return exitCodeOf(error.code);
}

// Reads and checks all files, and checks that the snapshot fits into the store.
Checked<Declaration> declarationOf(const Options &options)
{
    const Checked<std::vector<ServiceFileText>> files = tools::readServiceFiles(options.paths);
    if (!files)
        return tl::unexpected<ErrorList>(files.error());
    Checked<Declaration> declaration = collectDeclaration(*files);
    if (!declaration)
        return declaration;
    const Result<std::string> text = serializeSnapshot(declaration->snapshot);
    if (!text)
        return tl::unexpected<ErrorList>(ErrorList {text.error()});
    return declaration;
}

ExitCode check(const Options &options)
{
    if (isPlatformConfig(options))
        return checkPlatformConfig(options);
    const Checked<Declaration> declaration = declarationOf(options);
    if (!declaration) {
        reportErrors(options, declaration.error());
        return ExitCode::Invalid;
    }
    reportDeclaration(options, declaration->snapshot);
    return ExitCode::Ok;
}

ExitCode diff(const Options &options)
{
    const Checked<Declaration> declaration = declarationOf(options);
    if (!declaration) {
        reportErrors(options, declaration.error());
        return ExitCode::Invalid;
    }
    BlockingStore store = storeOf(options);
    const Result<CurrentConfig> current = tools::readCurrentConfig(store);
    if (!current)
        return failWith(options, current.error());
    const Snapshot &before = current->stored.snapshot;
    reportChanges(options, before.version,
                  diffSnapshots(before, nextSnapshot(*declaration, before)));
    return ExitCode::Ok;
}

// Waits for the daemons after a version was published.
ExitCode awaitRollout(const Options &options, BlockingStore &store, const Published &published)
{
    if (options.noWait) {
        reportPublished(options, published, {});
        return ExitCode::Ok;
    }
    const Result<std::vector<MemberStatus>> statuses =
        tools::awaitVersion(store, published.version, tools::rolloutLimit);
    if (!statuses) {
        reportPublished(options, published, {});
        reportError(options, statuses.error());
        return ExitCode::NotInForce;
    }
    reportPublished(options, published, *statuses);
    for (const MemberStatus &status : *statuses) {
        if (!status.hasAtLeast(published.version))
            return ExitCode::NotInForce;
    }
    return ExitCode::Ok;
}

// Returns the highest version that a registered daemon has in force. Daemons that do not answer
// are passed over: the version in the store is at least theirs unless the store has lost its data.
ConfigVersion versionInForce(BlockingStore &store, Millis timeout)
{
    ConfigVersion highest;
    const Result<std::vector<tools::MemberAddress>> members = tools::readMembers(store);
    if (!members)
        return highest;
    for (const MemberStatus &status : tools::askMembers(*members, timeout))
        highest = std::max(highest, status.version.value_or(ConfigVersion {}));
    return highest;
}

ExitCode publishEdit(const Options &options, const tools::SnapshotEdit &edit, OnConflict onConflict)
{
    BlockingStore store = storeOf(options);
    const PublishRequest request {tools::makeNonce(), options.baseVersion,
                                  versionInForce(store, options.storeTimeout), onConflict};
    const tl::expected<Published, PublishFailure> published =
        tools::publishEdit(store, edit, request);
    if (!published) {
        reportPublishFailure(options, published.error());
        return exitCodeOf(published.error().error.code);
    }
    return awaitRollout(options, store, *published);
}

ExitCode publish(const Options &options)
{
    const Checked<Declaration> declaration = declarationOf(options);
    if (!declaration) {
        reportErrors(options, declaration.error());
        return ExitCode::Invalid;
    }
    const tools::SnapshotEdit edit = [&declaration](const Snapshot &current) {
        return Result<Snapshot>(nextSnapshot(*declaration, current));
    };
    return publishEdit(options, edit, OnConflict::Report);
}

// A change of one zone or VM holds on top of any version, so it is repeated after a conflict.
ExitCode setState(const Options &options)
{
    const bool zone = options.command == Command::ZoneOut || options.command == Command::ZoneIn;
    const bool out = options.command == Command::ZoneOut || options.command == Command::VmOut;
    const ServiceState state = out ? ServiceState::Out : ServiceState::In;
    const tools::SnapshotEdit edit = [&options, zone, state](const Snapshot &current) {
        if (current.version == ConfigVersion {})
            return Result<Snapshot>(fail(ResultCode::ConfigMissing, "nothing is published yet"));
        return zone ? withZoneState(current, ZoneName(options.name), state)
                    : withVmState(current, VmName(options.name), state);
    };
    return publishEdit(options, edit, OnConflict::Repeat);
}

ExitCode status(const Options &options)
{
    BlockingStore store = storeOf(options);
    const Result<CurrentConfig> current = tools::readCurrentConfig(store);
    if (!current)
        return failWith(options, current.error());
    const Result<std::vector<tools::MemberAddress>> members = tools::readMembers(store);
    if (!members)
        return failWith(options, members.error());
    const Snapshot &snapshot = current->stored.snapshot;
    const std::vector<MemberStatus> statuses = tools::askMembers(*members, options.storeTimeout);
    reportStatus(options, snapshot, statuses);
    for (const MemberStatus &member : statuses) {
        if (!member.hasAtLeast(snapshot.version))
            return ExitCode::NotInForce;
    }
    return ExitCode::Ok;
}

ExitCode hashKey(const Options &options)
{
    std::string key = options.key.value_or("");
    if (!options.key && !std::getline(std::cin, key)) {
        std::cerr << "fescuectl: standard input has no key\n";
        return ExitCode::Invalid;
    }
    if (key.empty()) {
        std::cerr << "fescuectl: the key is empty\n";
        return ExitCode::Invalid;
    }
    std::cout << fescue::hashKey(key) << '\n';
    return ExitCode::Ok;
}

} // namespace

ExitCode run(const Options &options)
{
    switch (options.command) {
    case Command::Check:
        return check(options);
    case Command::Publish:
        return publish(options);
    case Command::Status:
        return status(options);
    case Command::Diff:
        return diff(options);
    case Command::ZoneOut:
    case Command::ZoneIn:
    case Command::VmOut:
    case Command::VmIn:
        return setState(options);
    case Command::HashKey:
        return hashKey(options);
    }
    return ExitCode::Failed;
}

} // namespace fescue::ctl
