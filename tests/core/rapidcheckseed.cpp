// Fixes the seed of all RapidCheck properties of this program. RC_PARAMS overrides it.

#include <cstdio>
#include <cstdlib>

namespace {

constexpr char defaultParameters[] = "seed=20261204 max_success=400";

const bool seedIsSet = [] {
    setenv("RC_PARAMS", defaultParameters, 0); // NOLINT(concurrency-mt-unsafe)
    std::printf("RC_PARAMS=%s\n", std::getenv("RC_PARAMS"));
    return true;
}();

} // namespace
