#pragma once

#include "fescue/core/claimrecord.h"
#include "fescue/core/generationid.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescue::fakes {

// What happens to one call of the store.
enum class StoreFault : std::uint8_t
{
    None,
    // The call does not get there, and the client knows.
    Down,
    // The call takes effect, and its answer is lost.
    AnswerLost,
    // The call is lost on its way, and the client does not know.
    CallLost,
    // The client gives up, and the call takes effect later.
    Late,
};

inline constexpr StoreFault allStoreFaults[] = {StoreFault::None, StoreFault::Down,
                                                StoreFault::AnswerLost, StoreFault::CallLost,
                                                StoreFault::Late};

// A write of one key. A revision of 0 asks that the key does not exist.
struct StoreWrite
{
    std::string key;
    std::string value;
    StoreRevision match;
};

struct StoreValue
{
    std::string value;
    StoreRevision revision;
};

// The key-value service, without time.
class FakeStore
{
public:
    // Returns the new revision, or nothing where the condition fails.
    std::optional<StoreRevision> write(const StoreWrite &write)
    {
        const auto it = m_values.find(write.key);
        const StoreRevision current = it == m_values.end() ? StoreRevision {} : it->second.revision;
        if (current != write.match)
            return std::nullopt;
        ++m_revision.value;
        m_values[write.key] = {write.value, m_revision};
        return m_revision;
    }

    [[nodiscard]] std::optional<StoreValue> read(const std::string &key) const
    {
        const auto it = m_values.find(key);
        if (it == m_values.end())
            return std::nullopt;
        return it->second;
    }

    void remove(const std::string &key)
    {
        ++m_revision.value;
        m_values.erase(key);
    }

    // Keeps a write that takes effect at landLate().
    void delay(StoreWrite write) { m_late.push_back(std::move(write)); }

    void landLate()
    {
        for (const StoreWrite &late : std::exchange(m_late, {}))
            write(late);
    }

    [[nodiscard]] StoreRevision revision() const { return m_revision; }

private:
    std::map<std::string, StoreValue> m_values;
    std::vector<StoreWrite> m_late;
    StoreRevision m_revision;
};

// One stream of an engine. The serial number is unique over all engines and lives.
struct FakeStream
{
    std::uint32_t request = 0;
    std::uint32_t serial = 0;
};

// A model engine: streams by number, and numbers start again with each life.
struct FakeEngine
{
    EndpointName name;
    Incarnation incarnation {1};
    std::map<std::string, FakeStream> streams;

    GenerationId start(std::uint32_t request, std::uint32_t serial)
    {
        const std::string number = std::to_string(streams.size());
        streams[number] = {request, serial};
        return {name, incarnation, number};
    }

    // Ends this life. In the next one, another request gets the first stream number.
    void restart(std::uint32_t otherRequest, std::uint32_t otherSerial)
    {
        ++incarnation.value;
        streams.clear();
        start(otherRequest, otherSerial);
    }
};

} // namespace fescue::fakes
