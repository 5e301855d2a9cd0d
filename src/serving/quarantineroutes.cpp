#include "fescue/serving/quarantineroutes.h"

#include "fescue/observe/log.h"

namespace fescue::serving {

QuarantineAnswer answerQuarantine(PromptQuarantine &quarantine, const net::HttpRequest &request,
                                  Millis now, Millis wallNow)
{
    QuarantineAnswer answer;
    const bool releases = request.method == "DELETE";
    if (!releases && request.method != "GET") {
        answer.response.status = 405;
        return answer;
    }
    std::string_view wanted = std::string_view(request.target).substr(quarantinePath.size());
    if (wanted.starts_with('/'))
        wanted.remove_prefix(1);
    std::string list;
    for (const QuarantineEntry &entry : quarantine.entries()) {
        if (!wanted.empty() && wanted != partsText(entry.parts))
            continue;
        std::optional<QuarantineEntry> released =
            releases ? quarantine.release(now, entry.parts) : std::nullopt;
        list +=
            (list.empty() ? "" : ",\n") + quarantineJson(released.value_or(entry), now, wallNow);
        if (!released)
            continue;
        observe::logChange("quarantine-released",
                           {{"parts", partsText(entry.parts)},
                            {"crashes", entry.crashes},
                            {"reason", "ordered by an operator"}});
        answer.released.push_back(std::move(*released));
    }
    if (!wanted.empty() && list.empty())
        answer.response.status = 404;
    else
        answer.response = net::jsonResponse(200, "[" + list + "]\n");
    return answer;
}

} // namespace fescue::serving
