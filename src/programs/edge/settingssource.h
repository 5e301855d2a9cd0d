#pragma once

#include "fescue/core/result.h"
#include "fescue/serving/nodesettings.h"

#include <optional>
#include <string>
#include <sys/types.h>

namespace fescue {

// The settings file, which others write while this process runs.
class SettingsSource
{
public:
    explicit SettingsSource(std::string path) : m_path(std::move(path)) { }

    [[nodiscard]] const std::string &path() const noexcept { return m_path; }
    // Reads the file. Errors: those of platform::loadSettings().
    [[nodiscard]] Result<serving::NodeSettings> read();
    // Returns true if the file is there and is not the one that was accepted last. A file that was
    // rejected is read again even if it looks the same, since a writer may complete it within one
    // step of the file system's clock.
    [[nodiscard]] bool isStale() const;

private:
    struct Stamp
    {
        ino_t file = 0;
        off_t bytes = 0;
        std::int64_t seconds = 0;
        std::int64_t nanoseconds = 0;

        bool operator==(const Stamp &) const = default;
    };

    [[nodiscard]] std::optional<Stamp> currentStamp() const;

    std::string m_path;
    std::optional<Stamp> m_accepted;
};

} // namespace fescue
