#include "fescue/config/errorlist.h"

#include <fstream>
#include <iterator>

namespace fescue {

std::string toString(const ErrorList &errors)
{
    std::string text;
    for (const Error &error : errors)
        text += error.toString() + '\n';
    return text;
}

Result<std::string> readTextFile(const std::string &path, std::size_t maxBytes)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return fail(ResultCode::FileUnreadable, "cannot open the file; check path and permissions",
                    {path});
    std::string text;
    char buf[16384];
    while (stream.read(buf, sizeof buf) || stream.gcount() > 0) {
        text.append(buf, static_cast<std::size_t>(stream.gcount()));
        if (text.size() > maxBytes)
            return fail(ResultCode::FileUnreadable,
                        "the file is larger than " + std::to_string(maxBytes) + " bytes", {path});
    }
    if (stream.bad())
        return fail(ResultCode::FileUnreadable, "reading the file failed", {path});
    return text;
}

} // namespace fescue
