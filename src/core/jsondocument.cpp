#include "fescue/core/jsondocument.h"

#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace fescue {

namespace {

using Json = nlohmann::json;

// Maximum length of the reason of an error, which may quote the document.
constexpr std::size_t maxReasonBytes = 200;

// Builds a document from the events of the library's parsers and stops them at a maximum depth,
// before the CBOR parser, which recurses, has used up the stack.
class DocumentBuilder
{
public:
    using number_integer_t = Json::number_integer_t;
    using number_unsigned_t = Json::number_unsigned_t;
    using number_float_t = Json::number_float_t;
    using string_t = Json::string_t;
    using binary_t = Json::binary_t;

    explicit DocumentBuilder(std::size_t maxDepth) noexcept : m_maxDepth(maxDepth) { }

    [[nodiscard]] Json takeDocument() noexcept { return std::move(m_document); }
    [[nodiscard]] const std::string &error() const noexcept { return m_error; }

    // The library calls these by name.
    // NOLINTBEGIN(readability-identifier-naming)
    bool null() { return add(nullptr); }
    bool boolean(bool value) { return add(value); }
    bool number_integer(number_integer_t value) { return add(value); }
    bool number_unsigned(number_unsigned_t value) { return add(value); }
    bool number_float(number_float_t value, const string_t &)
    {
        return std::isfinite(value) ? add(value) : stop("holds a number that is not finite");
    }
    bool string(string_t &value) { return add(std::move(value)); }
    bool binary(binary_t &value) { return add(std::move(value)); }
    bool start_object(std::size_t) { return begin(Json::object()); }
    bool key(string_t &name)
    {
        m_member = &(*m_open.back())[name];
        return true;
    }
    bool end_object() { return end(); }
    bool start_array(std::size_t) { return begin(Json::array()); }
    bool end_array() { return end(); }
    bool parse_error(std::size_t, const std::string &, const Json::exception &e)
    {
        return stop(e.what());
    }
    // NOLINTEND(readability-identifier-naming)

private:
    // Adds a value to the innermost open array or object and returns its place.
    Json &place(Json value)
    {
        if (m_open.empty())
            return m_document = std::move(value);
        if (m_open.back()->is_object())
            return *m_member = std::move(value);
        return m_open.back()->get_ref<Json::array_t &>().emplace_back(std::move(value));
    }

    bool add(Json value)
    {
        place(std::move(value));
        return true;
    }

    bool begin(Json empty)
    {
        if (m_open.size() >= m_maxDepth)
            return stop("is nested more than " + std::to_string(m_maxDepth) + " deep");
        m_open.push_back(&place(std::move(empty)));
        return true;
    }

    bool end()
    {
        m_open.pop_back();
        return true;
    }

    bool stop(std::string reason)
    {
        m_error = std::move(reason);
        if (m_error.size() > maxReasonBytes)
            m_error.resize(maxReasonBytes);
        return false;
    }

    std::size_t m_maxDepth;
    Json m_document;
    // The open arrays and objects, the outermost first. An array grows only after those within its
    // last item have ended, so the places stay valid.
    std::vector<Json *> m_open;
    // Place of the value that follows the last key.
    Json *m_member = nullptr;
    std::string m_error;
};

Result<Json> parse(std::string_view bytes, Json::input_format_t format, std::size_t maxDepth)
{
    DocumentBuilder builder(maxDepth);
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, format))
        return fail(ResultCode::MessageMalformed, builder.error());
    return builder.takeDocument();
}

} // namespace

Result<nlohmann::json> parseJson(std::string_view text, std::size_t maxDepth)
{
    return parse(text, Json::input_format_t::json, maxDepth);
}

Result<nlohmann::json> parseCbor(std::string_view bytes, std::size_t maxDepth)
{
    return parse(bytes, Json::input_format_t::cbor, maxDepth);
}

} // namespace fescue
