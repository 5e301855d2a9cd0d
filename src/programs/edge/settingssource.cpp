#include "settingssource.h"

#include "platform/settings.h"

#include <sys/stat.h>

namespace fescue {

Result<serving::NodeSettings> SettingsSource::read()
{
    // Taken before the file is read, so that a change in between is seen later.
    const std::optional<Stamp> stamp = currentStamp();
    Result<serving::NodeSettings> settings = platform::loadSettings(m_path);
    m_accepted = settings ? stamp : std::nullopt;
    return settings;
}

bool SettingsSource::isStale() const
{
    const std::optional<Stamp> stamp = currentStamp();
    return stamp && stamp != m_accepted;
}

std::optional<SettingsSource::Stamp> SettingsSource::currentStamp() const
{
    struct stat file
    { };
    if (stat(m_path.c_str(), &file) != 0)
        return std::nullopt;
    return Stamp {file.st_ino, file.st_size, file.st_mtim.tv_sec, file.st_mtim.tv_nsec};
}

} // namespace fescue
