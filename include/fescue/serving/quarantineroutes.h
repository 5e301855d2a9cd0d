#pragma once

#include "fescue/net/httptypes.h"
#include "fescue/serving/promptquarantine.h"

#include <string_view>

namespace fescue::serving {

// Path at which operators list and release quarantined prompt parts.
inline constexpr std::string_view quarantinePath = "/quarantine";

// Answer to an operator, and what the other processes have to know.
struct QuarantineAnswer
{
    net::HttpResponse response;
    std::vector<QuarantineEntry> released;
};

// Answers GET, which lists entries as JSON, and DELETE, which also releases them, for all entries
// (`/quarantine`) or for the one of the given parts (`/quarantine/ID,ID…`, hexadecimal). 404 if
// there is no such entry, 405 for other methods. `wallNow` is the wall-clock time of `now`.
[[nodiscard]] QuarantineAnswer answerQuarantine(PromptQuarantine &quarantine,
                                                const net::HttpRequest &request, Millis now,
                                                Millis wallNow);

} // namespace fescue::serving
