#include "fescue/serving/slotmessage.h"

#include "serving/cbor.h"

#include <stdexcept>

namespace fescue::serving {

namespace {

constexpr int layoutVersion = 2;
// Positions in the list of a message.
constexpr std::size_t kindAt = 1;
constexpr std::size_t serviceAt = 2;
constexpr std::size_t memberAt = 3;
constexpr std::size_t incarnationAt = 4;
constexpr std::size_t numberPosition = 5;
constexpr std::size_t firstAt = 6;

enum class Kind : std::uint8_t
{
    Ask,
    Answer,
    Return,
    Report,
};

Json begin(Kind kind, const ServiceName &service, const SlotKey &key)
{
    return {layoutVersion,     static_cast<int>(kind), service.text(),
            key.member.text(), key.incarnation.value,  key.number};
}

Json listOf(const std::set<EndpointName> &endpoints)
{
    Json list = Json::array();
    for (const EndpointName &endpoint : endpoints)
        list.push_back(endpoint.text());
    return list;
}

std::set<EndpointName> endpointsAt(const Json &json, std::size_t position)
{
    std::set<EndpointName> endpoints;
    for (const Json &name : json.at(position))
        endpoints.insert(EndpointName(name.get<std::string>()));
    return endpoints;
}

// Returns an enumerator no greater than `last`.
template <typename E>
E enumAt(const Json &json, std::size_t position, E last)
{
    const std::uint8_t value = numberAt<std::uint8_t>(json, position);
    if (value > static_cast<std::uint8_t>(last))
        static_cast<void>(json.at(json.size()));
    return static_cast<E>(value);
}

SlotAsk readAsk(const Json &json, SlotKey key)
{
    SlotAsk ask;
    ask.key = std::move(key);
    ask.zone = ZoneName(json.at(firstAt).get<std::string>());
    ask.account = AccountName(json.at(firstAt + 1).get<std::string>());
    ask.priority = numberAt<int>(json, firstAt + 2);
    ask.patience = spanAt(json, firstAt + 3);
    ask.target = spanAt(json, firstAt + 4);
    ask.tried = endpointsAt(json, firstAt + 5);
    ask.excluded = endpointsAt(json, firstAt + 6);
    return ask;
}

// Held numbers are sent as distances from the next one, which are short.
SlotReport readReport(const Json &json, SlotKey next)
{
    SlotReport report;
    report.next = std::move(next);
    const Json &distances = json.at(firstAt);
    for (std::size_t n = 0; n < distances.size(); ++n)
        report.held.insert(report.next.number - numberAt<std::uint64_t>(distances, n));
    return report;
}

} // namespace

std::string encodeSlotMessage(const SlotMessage &message)
{
    if (const SlotAsk *ask = std::get_if<SlotAsk>(&message.content)) {
        Json json = begin(Kind::Ask, message.service, ask->key);
        json.push_back(ask->zone.text());
        json.push_back(ask->account.text());
        json.push_back(ask->priority);
        json.push_back(ask->patience.count);
        json.push_back(ask->target.count);
        json.push_back(listOf(ask->tried));
        json.push_back(listOf(ask->excluded));
        return toCbor(json);
    }
    if (const SlotAnswer *answer = std::get_if<SlotAnswer>(&message.content)) {
        Json json = begin(Kind::Answer, message.service, answer->key);
        json.push_back(static_cast<int>(answer->verdict));
        json.push_back(answer->endpoint.text());
        return toCbor(json);
    }
    if (const SlotReport *report = std::get_if<SlotReport>(&message.content)) {
        Json json = begin(Kind::Report, message.service, report->next);
        Json distances = Json::array();
        for (const std::uint64_t number : report->held)
            distances.push_back(report->next.number - number);
        json.push_back(std::move(distances));
        return toCbor(json);
    }
    const SlotReturn &returned = std::get<SlotReturn>(message.content);
    Json json = begin(Kind::Return, message.service, returned.key);
    json.push_back(static_cast<int>(returned.use));
    json.push_back(returned.took.count);
    return toCbor(json);
}

Result<SlotMessage> decodeSlotMessage(std::string_view bytes)
{
    return readCbor<SlotMessage>(bytes, layoutVersion, "slot message", [](const Json &json) {
        SlotMessage message;
        const Kind kind = enumAt(json, kindAt, Kind::Report);
        message.service = ServiceName(json.at(serviceAt).get<std::string>());
        SlotKey key {MemberName(json.at(memberAt).get<std::string>()),
                     {numberAt<std::uint64_t>(json, incarnationAt)},
                     numberAt<std::uint64_t>(json, numberPosition)};
        if (kind == Kind::Ask) {
            message.content = readAsk(json, std::move(key));
        } else if (kind == Kind::Answer) {
            message.content =
                SlotAnswer {std::move(key), enumAt(json, firstAt, SlotVerdict::Refused),
                            EndpointName(json.at(firstAt + 1).get<std::string>())};
        } else if (kind == Kind::Report) {
            message.content = readReport(json, std::move(key));
        } else {
            message.content = SlotReturn {std::move(key), enumAt(json, firstAt, SlotUse::Unused),
                                          spanAt(json, firstAt + 1)};
        }
        return message;
    });
}

} // namespace fescue::serving
