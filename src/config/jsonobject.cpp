#include "config/jsonobject.h"

#include "fescue/core/jsonnumber.h"

#include <utility>

namespace fescue {

JsonObject::JsonObject(const nlohmann::json &value, std::string path, ErrorList &errors)
    : m_value(&value), m_path(std::move(path)), m_errors(&errors)
{
    if (!value.is_object())
        errors.push_back({ResultCode::ConfigSyntax,
                          (m_path.empty() ? "the text" : m_path) + " must be a JSON object"});
}

std::string JsonObject::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + '.' + std::string(key);
}

void JsonObject::report(const char *key, std::string message, ResultCode code)
{
    m_errors->push_back({code, pathOf(key) + ' ' + std::move(message)});
}

bool JsonObject::has(const char *key)
{
    m_known.emplace(key);
    return m_value->is_object() && m_value->contains(key);
}

const nlohmann::json *JsonObject::take(const char *key)
{
    if (!m_value->is_object())
        return nullptr;
    if (!has(key)) {
        report(key, "is missing", ResultCode::ConfigMissing);
        return nullptr;
    }
    return &(*m_value)[key];
}

const nlohmann::json *JsonObject::array(const char *key)
{
    const nlohmann::json *value = take(key);
    if (value == nullptr || value->is_array())
        return value;
    report(key, "must be an array");
    return nullptr;
}

void JsonObject::read(const char *key, std::string &target)
{
    const nlohmann::json *value = take(key);
    if (value == nullptr)
        return;
    if (value->is_string())
        target = value->get_ref<const std::string &>();
    else
        report(key, "must be a string");
}

void JsonObject::read(const char *key, bool &target)
{
    const nlohmann::json *value = take(key);
    if (value == nullptr)
        return;
    if (value->is_boolean())
        target = value->get<bool>();
    else
        report(key, "must be true or false");
}

void JsonObject::read(const char *key, double &target)
{
    const nlohmann::json *value = take(key);
    if (value == nullptr)
        return;
    if (value->is_number())
        target = value->get<double>();
    else
        report(key, "must be a number");
}

void JsonObject::read(const char *key, Millis &target)
{
    std::uint64_t count = 0;
    if (readUnsigned(key, count, static_cast<std::uint64_t>(maxInputSpan.count)))
        target = Millis {static_cast<std::int64_t>(count)};
}

bool JsonObject::readUnsigned(const char *key, std::uint64_t &target, std::uint64_t max)
{
    const nlohmann::json *value = take(key);
    if (value == nullptr)
        return false;
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() > max) {
        report(key, "must be a whole number from 0 to " + std::to_string(max));
        return false;
    }
    target = value->get<std::uint64_t>();
    return true;
}

void JsonObject::finish()
{
    if (!m_value->is_object())
        return;
    for (const std::pair<const std::string, nlohmann::json> &member :
         m_value->get_ref<const nlohmann::json::object_t &>()) {
        if (m_known.find(member.first) == m_known.end())
            m_errors->push_back(
                {ResultCode::ConfigUnknownKey, pathOf(member.first) + " is not a known member"});
    }
}

} // namespace fescue
