#pragma once

#include <algorithm>
#include <utility>

namespace fescue::tools {

namespace detail {

[[nodiscard]] inline bool isOutcomeUnknown(const Error &error) noexcept
{
    return error.code == ResultCode::StoreTimeout || error.code == ResultCode::StoreProtocol;
}

[[nodiscard]] inline tl::unexpected<PublishFailure> failPublish(Error error)
{
    return tl::unexpected<PublishFailure>(PublishFailure {std::move(error), {}, {}});
}

// Says which version is in the store, and how it differs from the snapshot that was refused.
[[nodiscard]] inline tl::unexpected<PublishFailure>
failConflict(const CurrentConfig &current, const Snapshot &refused, ConfigVersion base)
{
    const ConfigVersion version = current.stored.snapshot.version;
    Error error {ResultCode::ConfigVersionConflict,
                 "version " + std::to_string(version.value)
                     + " is published; this change was made on top of version "
                     + std::to_string(base.value) + " and nothing was written"};
    return tl::unexpected<PublishFailure>(PublishFailure {
        std::move(error), version, diffSnapshots(current.stored.snapshot, refused)});
}

// Returns whether an edit changes anything but the version.
[[nodiscard]] inline bool isChange(const Snapshot &before, Snapshot next)
{
    next.version = before.version;
    return !(next == before);
}

// How one round of reading, editing and writing ended.
enum class RoundEnd : std::uint8_t
{
    Written,
    Conflict,
};

// One edit of one version that was read, on its way into the store.
template <ConfigStore Store>
class PublishRound
{
public:
    PublishRound(Store &store, const CurrentConfig &base, const Snapshot &next,
                 const std::string &nonce)
        : m_store(&store), m_base(&base), m_next(&next), m_nonce(&nonce)
    { }

    // Writes, and reads back as long as it is not known whether the write took effect.
    [[nodiscard]] Result<RoundEnd> run()
    {
        const std::vector<std::string> nonces = nextNonces();
        const Result<std::string> text = serializeSnapshot(*m_next, nonces);
        if (!text)
            return tl::unexpected<Error>(text.error());
        Error last;
        for (int n = 0; n < maxPublishAttempts; ++n) {
            const Result<std::uint64_t> written =
                m_store->putIf(configKey, *text, m_base->revision);
            if (written) {
                m_current.stored = {*m_next, nonces};
                return RoundEnd::Written;
            }
            const bool unknown = isOutcomeUnknown(written.error());
            m_mayHaveWritten = m_mayHaveWritten || unknown;
            last = written.error();
            const std::optional<Result<RoundEnd>> end = readBack(last);
            if (end)
                return *end;
        }
        return giveUp(std::move(last));
    }

    // What is in the store after the round.
    [[nodiscard]] const CurrentConfig &current() const noexcept { return m_current; }

private:
    // The kept nonces stand for consecutive versions, so a gap ends them.
    [[nodiscard]] std::vector<std::string> nextNonces() const
    {
        std::vector<std::string> nonces = {*m_nonce};
        const StoredSnapshot &base = m_base->stored;
        if (m_next->version.value == base.snapshot.version.value + 1)
            nonces.insert(nonces.end(), base.nonces.begin(), base.nonces.end());
        return nonces;
    }

    // Returns how the round ended, or nothing where the same write has to be repeated.
    [[nodiscard]] std::optional<Result<RoundEnd>> readBack(Error &last)
    {
        Result<CurrentConfig> read = readCurrentConfig(*m_store);
        if (!read) {
            last = read.error();
            return std::nullopt;
        }
        m_current = std::move(*read);
        if (m_current.stored.versionOf(*m_nonce))
            return RoundEnd::Written;
        if (m_current.revision != m_base->revision)
            return RoundEnd::Conflict;
        return std::nullopt;
    }

    [[nodiscard]] Result<RoundEnd> giveUp(Error last) const
    {
        if (m_mayHaveWritten)
            return fail(ResultCode::OutcomeUnknown,
                        "it is not known whether version " + std::to_string(m_next->version.value)
                            + " was written; run status when the store answers again: "
                            + last.message);
        return tl::unexpected<Error>(std::move(last));
    }

    Store *m_store;
    const CurrentConfig *m_base;
    const Snapshot *m_next;
    const std::string *m_nonce;
    CurrentConfig m_current;
    bool m_mayHaveWritten = false;
};

} // namespace detail

template <ConfigStore Store>
Result<CurrentConfig> readCurrentConfig(Store &store)
{
    const Result<StoreValue> item = store.get(configKey);
    if (!item)
        return tl::unexpected<Error>(item.error());
    CurrentConfig current;
    current.revision = item->revision;
    if (item->revision == 0)
        return current;
    Result<StoredSnapshot> stored = parseStoredSnapshot(item->value);
    if (!stored)
        return tl::unexpected<Error>(stored.error());
    current.stored = std::move(*stored);
    return current;
}

template <ConfigStore Store>
tl::expected<Published, PublishFailure> publishEdit(Store &store, const SnapshotEdit &edit,
                                                    const PublishRequest &request)
{
    for (int n = 0; n < maxPublishAttempts; ++n) {
        const Result<CurrentConfig> base = readCurrentConfig(store);
        if (!base)
            return detail::failPublish(base.error());
        const Snapshot &before = base->stored.snapshot;
        Result<Snapshot> next = edit(before);
        if (!next)
            return detail::failPublish(next.error());
        if (next->version <= request.versionInForce)
            next->version = ConfigVersion {request.versionInForce.value + 1};
        if (request.baseVersion && *request.baseVersion != before.version)
            return detail::failConflict(*base, *next, *request.baseVersion);
        const bool outdated = before.version < request.versionInForce;
        if (before.version != ConfigVersion {} && !outdated && !detail::isChange(before, *next))
            return Published {before.version, before.version, {}};
        detail::PublishRound<Store> round(store, *base, *next, request.nonce);
        const Result<detail::RoundEnd> end = round.run();
        if (!end)
            return detail::failPublish(end.error());
        if (*end == detail::RoundEnd::Written)
            return Published {next->version, round.current().stored.snapshot.version,
                              diffSnapshots(before, *next)};
        if (request.onConflict == OnConflict::Report)
            return detail::failConflict(round.current(), *next, before.version);
    }
    return detail::failPublish({ResultCode::ConfigVersionConflict,
                                "others kept publishing; nothing was written, try again"});
}

} // namespace fescue::tools
