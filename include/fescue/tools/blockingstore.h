#pragma once

#include "fescue/config/hostport.h"
#include "fescue/core/clock.h"
#include "fescue/core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::tools {

// One key of the store. Revision 0 stands for an absent key.
struct StoreValue
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

// The key-value service for one-shot programs. Errors: ConnectFailed and StoreUnavailable (nothing
// took effect), StoreConflict (the condition did not hold), StoreTimeout and StoreProtocol (a
// write may have taken effect, or may still do so).
class BlockingStore
{
public:
    BlockingStore(HostPort address, Millis timeout);

    // Returns a value with revision 0 where the key is absent.
    [[nodiscard]] Result<StoreValue> get(std::string_view key);
    [[nodiscard]] Result<std::vector<StoreValue>> list(std::string_view prefix);
    // Writes where the key has the given revision; 0 demands that it is absent. Returns the new
    // revision.
    [[nodiscard]] Result<std::uint64_t> putIf(std::string_view key, std::string_view value,
                                              std::uint64_t revision);

private:
    HostPort m_address;
    Millis m_timeout;
};

} // namespace fescue::tools
