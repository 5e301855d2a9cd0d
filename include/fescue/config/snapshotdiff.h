#pragma once

#include "fescue/core/snapshot.h"

#include <string>
#include <vector>

namespace fescue {

// Returns one readable line for each difference, such as
// "~ endpoint ash-1: slots 16 -> 8", "+ zone north" or "- account diner". Secrets and key hashes
// are only said to have changed. The versions are not compared.
[[nodiscard]] std::vector<std::string> diffSnapshots(const Snapshot &before, const Snapshot &after);

} // namespace fescue
