#include "fescue/serving/slotmessage.h"

#include "serving/cbor.h"

#include <stdexcept>

namespace fescue::serving {

namespace {

constexpr int layoutVersion = 1;
// Positions in the list of a message.
constexpr std::size_t kindAt = 1;
constexpr std::size_t serviceAt = 2;
constexpr std::size_t memberAt = 3;
constexpr std::size_t numberPosition = 4;
constexpr std::size_t firstAt = 5;

enum class Kind : std::uint8_t
{
    Ask,
    Answer,
    Return,
};

Json begin(Kind kind, const ServiceName &service, const SlotKey &key)
{
    return {layoutVersion, static_cast<int>(kind), service.text(), key.member.text(), key.number};
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
    for (const Json &name : json.at(firstAt + 5))
        ask.tried.insert(EndpointName(name.get<std::string>()));
    return ask;
}

} // namespace

std::string encodeSlotMessage(const SlotMessage &message)
{
    if (const SlotAsk *ask = std::get_if<SlotAsk>(&message.content)) {
        Json json = begin(Kind::Ask, message.service, ask->key);
        Json tried = Json::array();
        for (const EndpointName &endpoint : ask->tried)
            tried.push_back(endpoint.text());
        json.push_back(ask->zone.text());
        json.push_back(ask->account.text());
        json.push_back(ask->priority);
        json.push_back(ask->patience.count);
        json.push_back(ask->target.count);
        json.push_back(std::move(tried));
        return toCbor(json);
    }
    if (const SlotAnswer *answer = std::get_if<SlotAnswer>(&message.content)) {
        Json json = begin(Kind::Answer, message.service, answer->key);
        json.push_back(static_cast<int>(answer->verdict));
        json.push_back(answer->endpoint.text());
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
        const Kind kind = enumAt(json, kindAt, Kind::Return);
        message.service = ServiceName(json.at(serviceAt).get<std::string>());
        SlotKey key {MemberName(json.at(memberAt).get<std::string>()),
                     numberAt<std::uint64_t>(json, numberPosition)};
        if (kind == Kind::Ask) {
            message.content = readAsk(json, std::move(key));
        } else if (kind == Kind::Answer) {
            message.content =
                SlotAnswer {std::move(key), enumAt(json, firstAt, SlotVerdict::Refused),
                            EndpointName(json.at(firstAt + 1).get<std::string>())};
        } else {
            message.content = SlotReturn {std::move(key), enumAt(json, firstAt, SlotUse::Unused),
                                          spanAt(json, firstAt + 1)};
        }
        return message;
    });
}

} // namespace fescue::serving
