#include "vanillapost/src/io/detail/cbor.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/base/text_check.hpp"

#include <cstdint>
#include <optional>

namespace vanillapost::io::detail {

namespace {

using nlohmann::json;

constexpr std::string_view step = "decode message";

constexpr unsigned byte_string = 2;
constexpr unsigned text_string = 3;
constexpr unsigned first_sized = 24; ///< the argument takes 1, 2, 4, 8 bytes
constexpr unsigned last_sized = 27;
constexpr unsigned in_pieces = 31;

/// Reads the argument of an item's head; nothing where the bytes end.
std::optional<std::uint64_t> read_argument(std::string_view bytes,
                                           std::size_t& at, unsigned info)
{
    if (info < first_sized || info > last_sized)
        return info;
    const std::size_t size = std::size_t{1} << (info - first_sized);
    if (bytes.size() - at < size)
        return std::nullopt;
    std::uint64_t value = 0;
    for (const char c : bytes.substr(at, size))
        value = value << 8 | static_cast<unsigned char>(c);
    at += size;
    return value;
}

/// Whether a string comes in pieces. The library reads pieces within each
/// other, so that its stack ends where many nest.
bool has_string_in_pieces(std::string_view bytes)
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        const unsigned head = static_cast<unsigned char>(bytes[at++]);
        const unsigned kind = head >> 5;
        const unsigned info = head & 31;
        const bool is_string = kind == byte_string || kind == text_string;
        if (is_string && info == in_pieces)
            return true;
        const auto argument = read_argument(bytes, at, info);
        if (!argument)
            return false;
        if (!is_string)
            continue;
        if (*argument > bytes.size() - at)
            return false;
        at += *argument;
    }
    return false;
}

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

json parse_message(std::string_view bytes, std::size_t max_bytes)
{
    if (bytes.size() > max_bytes)
        throw error(step, "", "too long");
    if (has_string_in_pieces(bytes))
        throw error(step, "", "a string comes in pieces");
    message_check check;
    if (!json::sax_parse(bytes, &check, json::input_format_t::cbor))
        throw error(step, "", "malformed, nested too deep or not UTF-8");
    json message = json::from_cbor(bytes, true, false);
    if (!message.is_object())
        throw error(step, "", "expected a map");
    return message;
}

std::string write_message(const json& message)
{
    const auto bytes = json::to_cbor(message);
    return {bytes.begin(), bytes.end()};
}

} // namespace vanillapost::io::detail
