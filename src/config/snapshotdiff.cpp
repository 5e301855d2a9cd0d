#include "fescue/config/snapshotdiff.h"

#include "fescue/config/words.h"

#include <sstream>
#include <string_view>
#include <type_traits>
#include <utility>

namespace fescue {

namespace {

std::string toText(const std::string &value)
{
    return value;
}

std::string toText(bool value)
{
    return value ? "yes" : "no";
}

std::string toText(std::uint32_t value)
{
    return std::to_string(value);
}

std::string toText(std::uint64_t value)
{
    return std::to_string(value);
}

std::string toText(double value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

std::string toText(Millis value)
{
    return std::to_string(value.count) + "ms";
}

template <typename Enum>
requires std::is_enum_v<Enum> std::string toText(Enum value)
{
    return std::string(toWord(value));
}

template <typename Tag>
std::string toText(const Name<Tag> &value)
{
    return value.text();
}

std::string toText(const std::vector<ServiceName> &names)
{
    if (names.empty())
        return "all";
    std::string text;
    for (const ServiceName &name : names)
        text += (text.empty() ? "" : ",") + name.text();
    return text;
}

// Collects the lines about one pair of snapshots.
class Differ
{
public:
    [[nodiscard]] std::vector<std::string> take() { return std::move(m_lines); }

    // Walks over two lists that are sorted by the projected key.
    template <typename Item, typename Key, typename Compare>
    void walk(std::string_view kind, const std::vector<Item> &before,
              const std::vector<Item> &after, const Key &keyOf, const Compare &compare)
    {
        auto a = before.begin();
        auto b = after.begin();
        while (a != before.end() || b != after.end()) {
            if (b == after.end() || (a != before.end() && keyOf(*a) < keyOf(*b))) {
                add("- ", kind, keyOf(*a++));
            } else if (a == before.end() || keyOf(*b) < keyOf(*a)) {
                add("+ ", kind, keyOf(*b++));
            } else {
                m_subject = std::string(kind) + ' ' + keyOf(*a);
                compare(*a++, *b++);
            }
        }
    }

    template <typename T>
    void field(std::string_view key, const T &before, const T &after)
    {
        if (!(before == after))
            m_lines.push_back("~ " + m_subject + ": " + std::string(key) + ' ' + toText(before)
                              + " -> " + toText(after));
    }

    void secret(std::string_view key, const std::string &before, const std::string &after)
    {
        if (before != after)
            m_lines.push_back("~ " + m_subject + ": " + std::string(key) + " changed");
    }

    void setSubject(std::string subject) { m_subject = std::move(subject); }

private:
    void add(std::string_view sign, std::string_view kind, const std::string &name)
    {
        m_lines.push_back(std::string(sign) + std::string(kind) + ' ' + name);
    }

    std::vector<std::string> m_lines;
    std::string m_subject;
};

template <typename Item>
const std::string &nameOf(const Item &item)
{
    return item.name.text();
}

void compareCalls(Differ &differ, const Service &before, const Service &after)
{
    const std::string kind = "call " + before.name.text();
    differ.walk(
        kind, before.calls, after.calls, [](const CallContract &call) { return call.pathPrefix; },
        [&differ](const CallContract &a, const CallContract &b) {
            differ.field("repeatable", a.repeatable, b.repeatable);
            differ.field("timeout", a.timeout, b.timeout);
        });
}

void compareServices(Differ &differ, const Service &before, const Service &after)
{
    differ.field("kind", before.kind, after.kind);
    differ.field("profile", before.profile, after.profile);
    differ.field("first-token-target", before.firstTokenTarget, after.firstTokenTarget);
    differ.field("token-gap-target", before.tokenGapTarget, after.tokenGapTarget);
    differ.field("queue-limit", before.queueLimit, after.queueLimit);
    differ.field("max-output-tokens", before.maxOutputTokens, after.maxOutputTokens);
    compareCalls(differ, before, after);
}

void compareEndpoints(Differ &differ, const Endpoint &before, const Endpoint &after)
{
    differ.field("service", before.service, after.service);
    differ.field("zone", before.zone, after.zone);
    differ.field("vm", before.vm, after.vm);
    differ.field("address", before.address, after.address);
    differ.field("slots", before.slots, after.slots);
    differ.field("cold-slots", before.coldSlots, after.coldSlots);
    differ.field("memory-tokens", before.memoryTokens, after.memoryTokens);
    differ.field("fencing", before.fencing, after.fencing);
}

void compareAccounts(Differ &differ, const Account &before, const Account &after)
{
    differ.secret("key-hash", before.keyHash, after.keyHash);
    differ.field("weight", before.weight, after.weight);
    differ.field("max-streams", before.maxStreams, after.maxStreams);
    differ.field("services", before.services, after.services);
}

} // namespace

std::vector<std::string> diffSnapshots(const Snapshot &before, const Snapshot &after)
{
    Differ differ;
    differ.setSubject("system");
    differ.secret("stream-secret", before.streamSecret, after.streamSecret);
    differ.field("directory-ttl", before.directoryTtl, after.directoryTtl);
    differ.walk("zone", before.zones, after.zones, nameOf<Zone>,
                [&differ](const Zone &a, const Zone &b) {
                    differ.field("region", a.region, b.region);
                    differ.field("out", a.out, b.out);
                });
    differ.walk("vm out", before.vmsOut, after.vmsOut, nameOf<VmOut>,
                [](const VmOut &, const VmOut &) {});
    differ.walk("service", before.services, after.services, nameOf<Service>,
                [&differ](const Service &a, const Service &b) { compareServices(differ, a, b); });
    differ.walk(
        "endpoint", before.endpoints, after.endpoints, nameOf<Endpoint>,
        [&differ](const Endpoint &a, const Endpoint &b) { compareEndpoints(differ, a, b); });
    differ.walk("account", before.accounts, after.accounts, nameOf<Account>,
                [&differ](const Account &a, const Account &b) { compareAccounts(differ, a, b); });
    return differ.take();
}

} // namespace fescue
