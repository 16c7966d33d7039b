#include "vanillapost/src/io/detail/cbor.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/base/text_check.hpp"

namespace vanillapost::io::detail {

namespace {

using nlohmann::json;

constexpr std::string_view step = "decode message";

/// Refuses what the library would take: nesting that overflows its stack and
/// texts that cannot be written as JSON later on.
class message_check : public json::json_sax_t
{
public:
    bool null() override
    {
        return true;
    }

    bool boolean(bool) override
    {
        return true;
    }

    bool number_integer(json::number_integer_t) override
    {
        return true;
    }

    bool number_unsigned(json::number_unsigned_t) override
    {
        return true;
    }

    bool number_float(json::number_float_t, const std::string&) override
    {
        return true;
    }

    bool string(std::string& text) override
    {
        return is_utf8(text);
    }

    bool binary(json::binary_t&) override
    {
        return true;
    }

    bool start_object(std::size_t) override
    {
        return ++depth_ <= max_message_depth;
    }

    bool key(std::string& text) override
    {
        return is_utf8(text);
    }

    bool end_object() override
    {
        --depth_;
        return true;
    }

    bool start_array(std::size_t) override
    {
        return ++depth_ <= max_message_depth;
    }

    bool end_array() override
    {
        --depth_;
        return true;
    }

    bool parse_error(std::size_t, const std::string&,
                     const json::exception&) override
    {
        return false;
    }

private:
    std::size_t depth_ = 0;
};

} // namespace

json parse_message(std::string_view bytes)
{
    if (bytes.size() > max_message_bytes)
        throw error(step, "", "too long");
    message_check check;
    if (!json::sax_parse(bytes, &check, json::input_format_t::cbor))
        throw error(step, "", "malformed, nested too deep or not UTF-8");
    json message = json::from_cbor(bytes, true, false);
    if (!message.is_object())
        throw error(step, "", "expected a map");
    return message;
}

} // namespace vanillapost::io::detail
