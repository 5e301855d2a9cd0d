#pragma once

#include "fescue/serving/coldshares.h"

#include <string>
#include <vector>

namespace fescue::test {

// Returns the shares of a process that has known `members` members, itself included, for longer
// than the settling time.
inline serving::ColdShares settledShares(std::size_t members)
{
    std::vector<MemberView> views;
    for (std::size_t i = 0; i < members; ++i) {
        MemberView view;
        view.info.name = MemberName("entry-" + std::to_string(i));
        views.push_back(view);
    }
    serving::ColdShares shares(MemberName("entry-0"));
    shares.recordMembers(1_s, views);
    return shares;
}

} // namespace fescue::test
