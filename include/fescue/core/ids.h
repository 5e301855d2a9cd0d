#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace fescue {

// A name of one kind of thing. Names of different kinds do not compare or convert.
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text) noexcept : m_text(std::move(text)) { }
    explicit Name(std::string_view text) : m_text(text) { }
    explicit Name(const char *text) : m_text(text) { }

    [[nodiscard]] const std::string &text() const noexcept { return m_text; }
    [[nodiscard]] bool empty() const noexcept { return m_text.empty(); }

    auto operator<=>(const Name &) const = default;

private:
    std::string m_text;
};

// An availability zone.
using ZoneName = Name<struct ZoneTag>;
// A client account of a customer.
using AccountName = Name<struct AccountTag>;
// A model, or a plain service, that requests name.
using ServiceName = Name<struct ServiceTag>;
// A back end process: one model engine or one plain service process.
using EndpointName = Name<struct EndpointTag>;
// One daemon of the system itself.
using MemberName = Name<struct MemberTag>;
// A virtual machine as the platform's list names it.
using VmName = Name<struct VmTag>;

// One life of a process or endpoint; a restart has a greater one.
struct Incarnation
{
    std::uint64_t value = 0;
    auto operator<=>(const Incarnation &) const noexcept = default;
};

// Version of the published configuration. Versions are totally ordered; 0 means none.
struct ConfigVersion
{
    std::uint64_t value = 0;
    auto operator<=>(const ConfigVersion &) const noexcept = default;
};

// Fencing number of an order-giver or credit authority, from a compare-and-swap in the store.
struct FencingNumber
{
    std::uint64_t value = 0;
    auto operator<=>(const FencingNumber &) const noexcept = default;
};

} // namespace fescue

template <typename Tag>
struct std::hash<fescue::Name<Tag>>
{
    std::size_t operator()(const fescue::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string> {}(name.text());
    }
};
