#pragma once

#include "fescue/serving/callerrequest.h"
#include "fescue/serving/crashevidence.h"
#include "fescue/serving/quarantinenotice.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace fescue::serving {

enum class PromptVerdict : std::uint8_t
{
    Admit,
    // The request must not reach an engine.
    Refuse,
    // The request may reach an engine if it is claimed as a trial of the entry.
    Trial,
};

struct PromptDecision
{
    PromptVerdict verdict = PromptVerdict::Admit;
    // The entry that decided; valid unless the verdict is Admit.
    QuarantineEntry entry;
    // Time until the next trial, for refused callers.
    Millis retryAfter {0};
};

// Keeps prompt parts that crash engines away from them. Each process holds all entries and merges
// those of the others; trials have to be claimed in the store by the caller of this module, so that
// all processes together make no more than `maxTrials`.
class PromptQuarantine
{
public:
    static constexpr std::size_t maxEntries = 256;
    // Maximum number of parts with equal evidence that get entries of their own. A longer list,
    // which a caller may have made up, gets one entry that matches the parts together.
    static constexpr std::size_t maxRivals = 16;
    // Maximum number of automatic trials of an entry; afterwards only an operator releases it.
    static constexpr std::uint32_t maxTrials = 2;
    // Delay of the first and of the second trial.
    static constexpr Millis firstTrialDelay = 60_s;
    static constexpr Millis secondTrialDelay = 600_s;
    // Delay between the trials of a part with rivals, by requests without the rivals: they soon
    // show which of the parts is sound.
    static constexpr Millis rivalTrialDelay = 5_s;
    // Retry delay of callers if no trial is due any more.
    static constexpr Millis longestRetryDelay = 600_s;
    // Released entries are kept for this time, so that outdated copies of them have no effect.
    static constexpr Millis releaseRetention = 600_s;

    // Result of merging a notice.
    struct Merged
    {
        // The part of the notice that was new.
        QuarantineNotice received;
        // Entries that this process releases since it knows that their parts are sound.
        std::vector<QuarantineEntry> released;
    };

    // Returns the sorted ids of the parts that decide; the last part belongs to the request itself.
    [[nodiscard]] static std::vector<PartId> decisiveParts(std::span<const PromptPart> prompt);

    // Records a crash. Returns the report with the parts that were new.
    CrashReport recordCrash(Millis now, const CrashReport &report);
    // Records that a request with these parts has started. Returns what the other processes have
    // to know: suspected parts that are sound, and entries that are released.
    QuarantineNotice recordStart(Millis now, std::span<const PromptPart> prompt);
    // Evaluates the evidence. Returns the entries that were added.
    std::vector<QuarantineEntry> evaluate(Millis now);
    Merged merge(Millis now, const QuarantineNotice &notice);
    // Merges one entry. Returns false if it is not newer than the known one.
    bool mergeEntry(const QuarantineEntry &entry);

    [[nodiscard]] PromptDecision decide(Millis now, std::span<const PromptPart> prompt) const;
    // Returns an entry as it is after one more trial, to be claimed in the store.
    [[nodiscard]] static QuarantineEntry withTrial(Millis now, QuarantineEntry entry);
    // Ends the quarantine of parts by an operator's order or after a start. Returns nullopt if they
    // are not in quarantine.
    std::optional<QuarantineEntry> release(Millis now, std::span<const PartId> parts);
    // Deletes outdated released entries.
    void purge(Millis now);

    [[nodiscard]] std::vector<QuarantineEntry> entries() const;
    [[nodiscard]] std::size_t activeCount() const noexcept;

private:
    [[nodiscard]] static std::optional<Millis> trialDueAt(const QuarantineEntry &entry,
                                                          std::span<const PartId> parts);
    std::optional<QuarantineEntry> quarantine(Millis now, std::vector<PartId> parts,
                                              const CrashEvidence::Cause &cause);
    void makeRoom();

    CrashEvidence m_evidence;
    // By their parts.
    std::map<std::vector<PartId>, QuarantineEntry> m_entries;
};

} // namespace fescue::serving
