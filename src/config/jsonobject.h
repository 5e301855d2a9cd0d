#pragma once

#include "fescue/config/errorlist.h"
#include "fescue/core/clock.h"

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace fescue {

// Reads the members of one JSON object strictly. Errors go to the list with the path of the member.
class JsonObject
{
public:
    // The value and the list must outlive this object.
    JsonObject(const nlohmann::json &value, std::string path, ErrorList &errors);

    void read(const char *key, std::string &target);
    void read(const char *key, bool &target);
    void read(const char *key, double &target);
    void read(const char *key, Millis &target);
    template <std::unsigned_integral T>
    void read(const char *key, T &target)
    {
        std::uint64_t number = 0;
        if (readUnsigned(key, number, std::numeric_limits<T>::max()))
            target = static_cast<T>(number);
    }

    // Calls the function with each element of an array and the path of the element.
    template <std::invocable<const nlohmann::json &, const std::string &> Function>
    void readEach(const char *key, const Function &function)
    {
        const nlohmann::json *list = array(key);
        if (list == nullptr)
            return;
        for (std::size_t n = 0; n < list->size(); ++n)
            function((*list)[n], pathOf(key) + '[' + std::to_string(n) + ']');
    }

    // Returns whether the member exists; it then counts as known.
    [[nodiscard]] bool has(const char *key);

    // Reports members that were never read.
    void finish();

    void report(const char *key, std::string message, ResultCode code = ResultCode::ConfigBadValue);

private:
    [[nodiscard]] const nlohmann::json *take(const char *key);
    [[nodiscard]] const nlohmann::json *array(const char *key);
    [[nodiscard]] std::string pathOf(std::string_view key) const;
    bool readUnsigned(const char *key, std::uint64_t &target, std::uint64_t max);

    const nlohmann::json *m_value;
    std::string m_path;
    ErrorList *m_errors;
    std::set<std::string, std::less<>> m_known;
};

} // namespace fescue
