#include "fescue/tools/servicefiles.h"

#include <filesystem>
#include <set>
#include <system_error>
#include <utility>

namespace fescue::tools {

namespace {

namespace fs = std::filesystem;

bool isServiceFile(const fs::path &path)
{
    const std::string name = path.filename().string();
    return name.size() > serviceFileSuffix.size() && name.ends_with(serviceFileSuffix);
}

void addDirectory(const fs::path &directory, std::set<std::string> &found, ErrorList &errors)
{
    std::error_code ec;
    bool any = false;
    fs::recursive_directory_iterator it(directory, ec);
    for (; !ec && it != fs::recursive_directory_iterator(); it.increment(ec)) {
        if (!isServiceFile(it->path()) || !it->is_regular_file(ec))
            continue;
        any = true;
        found.insert(it->path().lexically_normal().string());
    }
    if (ec)
        errors.push_back({ResultCode::FileUnreadable,
                          "cannot read the directory: " + ec.message(),
                          {directory.string()}});
    else if (!any)
        errors.push_back({ResultCode::ConfigMissing,
                          "no file below this directory ends in " + std::string(serviceFileSuffix),
                          {directory.string()}});
}

} // namespace

Checked<std::vector<ServiceFileText>> readServiceFiles(const std::vector<std::string> &paths)
{
    std::set<std::string> found;
    ErrorList errors;
    for (const std::string &path : paths) {
        std::error_code ec;
        if (fs::is_directory(path, ec))
            addDirectory(path, found, errors);
        else
            found.insert(fs::path(path).lexically_normal().string());
    }
    std::vector<ServiceFileText> files;
    for (const std::string &path : found) {
        Result<std::string> text = readTextFile(path);
        if (text)
            files.push_back({path, std::move(*text)});
        else
            errors.push_back(std::move(text.error()));
    }
    if (!errors.empty())
        return tl::unexpected<ErrorList>(std::move(errors));
    return files;
}

} // namespace fescue::tools
