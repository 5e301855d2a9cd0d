#include "fescue/peer/codec.h"

#include "fescue/core/jsondocument.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <type_traits>
#include <utility>

namespace fescue::peer {

namespace {

using Json = nlohmann::json;

// Thrown inside this file where a field is missing or has a wrong type or range.
class FieldError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

const Json &field(const Json &object, const char *key)
{
    if (!object.is_object())
        throw FieldError("expected a map");
    const Json::const_iterator it = object.find(key);
    if (it == object.end())
        throw FieldError(std::string("missing field ") + key);
    return *it;
}

template <typename T>
T readUnsigned(const Json &object, const char *key)
{
    const Json &value = field(object, key);
    if (!value.is_number_unsigned())
        throw FieldError(std::string("field is not an unsigned number: ") + key);
    const std::uint64_t n = value.get<std::uint64_t>();
    if (n > std::numeric_limits<T>::max())
        throw FieldError(std::string("number out of range: ") + key);
    return static_cast<T>(n);
}

std::int64_t readSigned(const Json &object, const char *key)
{
    const Json &value = field(object, key);
    if (!value.is_number_integer())
        throw FieldError(std::string("field is not a whole number: ") + key);
    if (value.is_number_unsigned()
        && value.get<std::uint64_t>()
            > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
        throw FieldError(std::string("number out of range: ") + key);
    return value.get<std::int64_t>();
}

double readDouble(const Json &object, const char *key)
{
    const Json &value = field(object, key);
    if (!value.is_number())
        throw FieldError(std::string("field is not a number: ") + key);
    return value.get<double>();
}

std::string readText(const Json &object, const char *key)
{
    const Json &value = field(object, key);
    if (!value.is_string())
        throw FieldError(std::string("field is not text: ") + key);
    return value.get<std::string>();
}

bool readBool(const Json &object, const char *key)
{
    const Json &value = field(object, key);
    if (!value.is_boolean())
        throw FieldError(std::string("field is not true or false: ") + key);
    return value.get<bool>();
}

// Reads an enumeration whose values count from 0 to the last one.
template <typename E>
E readEnum(const Json &object, const char *key, E last)
{
    using Raw = std::underlying_type_t<E>;
    const Raw raw = readUnsigned<Raw>(object, key);
    if (raw > static_cast<Raw>(last))
        throw FieldError(std::string("unknown value of ") + key);
    return static_cast<E>(raw);
}

// Maximum depth of a message.
constexpr std::size_t maxMessageDepth = 8;

template <typename E>
std::uint64_t enumNumber(E value) noexcept
{
    return static_cast<std::uint64_t>(value);
}

template <typename T>
std::vector<T> readList(const Json &object, const char *key, T (*readItem)(const Json &))
{
    const Json &list = field(object, key);
    if (!list.is_array())
        throw FieldError(std::string("field is not a list: ") + key);
    std::vector<T> items;
    items.reserve(list.size());
    for (const Json &item : list)
        items.push_back(readItem(item));
    return items;
}

template <typename T>
Json writeList(const std::vector<T> &items, Json (*writeItem)(const T &))
{
    Json list = Json::array();
    for (const T &item : items)
        list.push_back(writeItem(item));
    return list;
}

// Field names are one to three letters because heartbeats and credits dominate the traffic.

Json writeMemberItem(const MemberItem &item)
{
    return {{"m", item.member.text()},
            {"rev", item.revision},
            {"del", item.deleted},
            {"val", item.value}};
}

MemberItem readMemberItem(const Json &in)
{
    MemberItem item;
    item.member = MemberName(readText(in, "m"));
    item.revision = readUnsigned<std::uint64_t>(in, "rev");
    item.deleted = readBool(in, "del");
    item.value = readText(in, "val");
    return item;
}

Json writeDemand(const EntryDemand &demand)
{
    return {{"e", demand.endpoint.text()},     {"ha", demand.heldAuthority.value},
            {"hs", demand.heldSerial},         {"r", demand.running},
            {"p", demand.promisedTokens},      {"q", demand.queuedWanted},
            {"w", demand.minimumTokensWanted}, {"f", demand.finishedTotal},
            {"i", demand.incarnation.value},   {"at", demand.sentAt.count},
            {"sr", demand.uncontendedRunning}, {"wt", demand.weight}};
}

EntryDemand readDemand(const Json &in)
{
    EntryDemand demand;
    demand.endpoint = EndpointName(readText(in, "e"));
    demand.heldAuthority = FencingNumber {readUnsigned<std::uint64_t>(in, "ha")};
    demand.heldSerial = readUnsigned<std::uint64_t>(in, "hs");
    demand.running = readUnsigned<std::uint32_t>(in, "r");
    demand.promisedTokens = readUnsigned<std::uint64_t>(in, "p");
    demand.queuedWanted = readUnsigned<std::uint32_t>(in, "q");
    demand.minimumTokensWanted = readUnsigned<std::uint64_t>(in, "w");
    demand.finishedTotal = readUnsigned<std::uint64_t>(in, "f");
    demand.incarnation = Incarnation {readUnsigned<std::uint64_t>(in, "i")};
    demand.sentAt = Millis {readSigned(in, "at")};
    demand.uncontendedRunning = readUnsigned<std::uint32_t>(in, "sr");
    demand.weight = readDouble(in, "wt");
    return demand;
}

Json writeGrant(const CreditGrant &grant)
{
    return {{"e", grant.endpoint.text()}, {"i", grant.incarnation.value},
            {"a", grant.authority.value}, {"n", grant.serial},
            {"s", grant.slots},           {"k", grant.memoryTokens},
            {"b", grant.busyPercent},     {"at", grant.demandSentAt.count},
            {"ms", grant.term.count}};
}

CreditGrant readGrant(const Json &in)
{
    CreditGrant grant;
    grant.endpoint = EndpointName(readText(in, "e"));
    grant.incarnation = Incarnation {readUnsigned<std::uint64_t>(in, "i")};
    grant.authority = FencingNumber {readUnsigned<std::uint64_t>(in, "a")};
    grant.serial = readUnsigned<std::uint64_t>(in, "n");
    grant.slots = readUnsigned<std::uint32_t>(in, "s");
    grant.memoryTokens = readUnsigned<std::uint64_t>(in, "k");
    grant.busyPercent = readUnsigned<std::uint32_t>(in, "b");
    grant.demandSentAt = Millis {readSigned(in, "at")};
    grant.term = Millis {readSigned(in, "ms")};
    return grant;
}

// Writes the fields of one type; `t` names the type on the wire.
struct Writer
{
    Json &out;

    void operator()(const Hello &m) const
    {
        out["t"] = "hi";
        out["m"] = m.member.text();
        out["role"] = enumNumber(m.role);
        out["i"] = m.incarnation.value;
        out["z"] = m.zone.text();
        out["vm"] = m.vm.text();
        out["http"] = m.callerAddress;
        out["peer"] = m.peerAddress;
    }
    void operator()(const Heartbeat &m) const
    {
        out["t"] = "hb";
        out["s"] = m.number;
        out["r"] = m.received;
        out["c"] = m.configVersion.value;
        out["a"] = m.storeContactAgeMs;
        out["ac"] = m.contactVersion.value;
        out["mr"] = m.membersRevision;
        out["l"] = m.leaving;
    }
    void operator()(const VersionNotice &m) const
    {
        out["t"] = "vn";
        out["c"] = m.version.value;
    }
    void operator()(const ConfigRequest &m) const
    {
        out["t"] = "cr";
        out["c"] = m.knownVersion.value;
    }
    void operator()(const ConfigBody &m) const
    {
        out["t"] = "cb";
        out["c"] = m.version.value;
        out["r"] = m.revision;
        out["b"] = m.body;
    }
    void operator()(const MembersRequest &m) const
    {
        out["t"] = "mr";
        out["r"] = m.knownRevision;
    }
    void operator()(const MembersBody &m) const
    {
        out["t"] = "mb";
        out["a"] = m.after;
        out["r"] = m.revision;
        out["n"] = writeList(m.items, writeMemberItem);
    }
    void operator()(const CreditDemands &m) const
    {
        out["t"] = "cd";
        out["n"] = writeList(m.demands, writeDemand);
    }
    void operator()(const CreditGrants &m) const
    {
        out["t"] = "cg";
        out["n"] = writeList(m.grants, writeGrant);
    }
    void operator()(const EndpointEvent &m) const
    {
        out["t"] = "ev";
        out["e"] = m.endpoint.text();
        out["k"] = enumNumber(m.sign);
        out["i"] = m.incarnation.value;
        out["ms"] = m.elapsed.count;
    }
    void operator()(const Goodbye &m) const
    {
        out["t"] = "by";
        out["k"] = enumNumber(m.reason);
    }
};

Message readHello(const Json &in)
{
    Hello m;
    m.member = MemberName(readText(in, "m"));
    m.role = readEnum(in, "role", Role::Admission);
    m.incarnation = Incarnation {readUnsigned<std::uint64_t>(in, "i")};
    m.zone = ZoneName(readText(in, "z"));
    m.vm = VmName(readText(in, "vm"));
    m.callerAddress = readText(in, "http");
    m.peerAddress = readText(in, "peer");
    return m;
}

Message readHeartbeat(const Json &in)
{
    Heartbeat m;
    m.number = readUnsigned<std::uint64_t>(in, "s");
    m.received = readUnsigned<std::uint64_t>(in, "r");
    m.configVersion = ConfigVersion {readUnsigned<std::uint64_t>(in, "c")};
    m.storeContactAgeMs = readSigned(in, "a");
    m.contactVersion = ConfigVersion {readUnsigned<std::uint64_t>(in, "ac")};
    m.membersRevision = readUnsigned<std::uint64_t>(in, "mr");
    m.leaving = readBool(in, "l");
    return m;
}

Message readVersionNotice(const Json &in)
{
    return VersionNotice {ConfigVersion {readUnsigned<std::uint64_t>(in, "c")}};
}

Message readConfigRequest(const Json &in)
{
    return ConfigRequest {ConfigVersion {readUnsigned<std::uint64_t>(in, "c")}};
}

Message readConfigBody(const Json &in)
{
    ConfigBody m;
    m.version = ConfigVersion {readUnsigned<std::uint64_t>(in, "c")};
    m.revision = readUnsigned<std::uint64_t>(in, "r");
    m.body = readText(in, "b");
    return m;
}

Message readMembersRequest(const Json &in)
{
    return MembersRequest {readUnsigned<std::uint64_t>(in, "r")};
}

Message readMembersBody(const Json &in)
{
    return MembersBody {readUnsigned<std::uint64_t>(in, "a"), readUnsigned<std::uint64_t>(in, "r"),
                        readList(in, "n", readMemberItem)};
}

Message readCreditDemands(const Json &in)
{
    return CreditDemands {readList(in, "n", readDemand)};
}

Message readCreditGrants(const Json &in)
{
    return CreditGrants {readList(in, "n", readGrant)};
}

Message readEndpointEvent(const Json &in)
{
    EndpointEvent m;
    m.endpoint = EndpointName(readText(in, "e"));
    m.sign = readEnum(in, "k", EndpointSign::Refused);
    m.incarnation = Incarnation {readUnsigned<std::uint64_t>(in, "i")};
    m.elapsed = Millis {readSigned(in, "ms")};
    return m;
}

Message readGoodbye(const Json &in)
{
    return Goodbye {readEnum(in, "k", GoodbyeReason::NotWanted)};
}

struct Reader
{
    std::string_view type;
    Message (*read)(const Json &);
};

constexpr Reader readers[] = {
    {"hi", readHello},         {"hb", readHeartbeat},     {"vn", readVersionNotice},
    {"cr", readConfigRequest}, {"cb", readConfigBody},    {"mr", readMembersRequest},
    {"mb", readMembersBody},   {"cd", readCreditDemands}, {"cg", readCreditGrants},
    {"ev", readEndpointEvent}, {"by", readGoodbye},
};
static_assert(std::size(readers) == messageTypeCount);

Result<Message> readMessage(const Json &in)
{
    if (readUnsigned<std::uint64_t>(in, "v") != protocolVersion)
        return fail(ResultCode::MessageVersionUnknown,
                    "the peer speaks another protocol version; run the same release on both");
    const std::string type = readText(in, "t");
    for (const Reader &reader : readers) {
        if (reader.type == type)
            return reader.read(in);
    }
    return fail(ResultCode::MessageMalformed, "unknown message type from a peer");
}

} // namespace

std::string encode(const Message &message)
{
    Json out = Json::object();
    out["v"] = protocolVersion;
    std::visit(Writer {out}, message);
    std::string bytes;
    Json::to_cbor(out, bytes);
    return bytes;
}

Result<Message> decode(std::string_view bytes)
{
    if (bytes.size() > maxMessageBytes)
        return fail(ResultCode::MessageMalformed, "message from a peer is too large");
    const Result<Json> in = parseCbor(bytes, maxMessageDepth);
    if (!in)
        return fail(ResultCode::MessageMalformed,
                    "message from a peer is not CBOR: " + in.error().message);
    try {
        return readMessage(*in);
    } catch (const FieldError &error) {
        return fail(ResultCode::MessageMalformed,
                    std::string("message from a peer: ") + error.what());
    } catch (const Json::exception &) {
        return fail(ResultCode::MessageMalformed, "message from a peer is not CBOR");
    }
}

} // namespace fescue::peer
