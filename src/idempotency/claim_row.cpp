#include "vanillapost/src/idempotency/claim_row.hpp"

#include "vanillapost/src/base/text_check.hpp"
#include "vanillapost/src/records/field_reader.hpp"
#include "vanillapost/src/records/parse_record.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace vanillapost {

namespace {

/// Longest text of a claim. A stored body doubles in length when it is encoded
/// as hexadecimal digits.
constexpr std::size_t max_claim_bytes = 256 * 1024;

constexpr std::array<const char*, 4> state_names = {"claimed", "done",
                                                    "released", "unknown"};

constexpr std::string_view step = "read claim";

std::string to_hex(std::string_view bytes)
{
    std::string text;
    boost::algorithm::hex_lower(bytes, std::back_inserter(text));
    return text;
}

std::string hash_text(std::string_view bytes)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical,
                             XXH3_128bits(bytes.data(), bytes.size()));
    const auto* first = reinterpret_cast<const char*>(canonical.digest);
    return to_hex(std::string_view(first, sizeof canonical.digest));
}

std::string from_hex(const std::string& text, detail::field_reader& fields)
{
    std::string bytes;
    try {
        boost::algorithm::unhex(text, std::back_inserter(bytes));
    } catch (const boost::algorithm::hex_decode_error&) {
        fields.problem("body_hex", text.substr(0, 16), "hex digits");
    }
    return bytes;
}

using header_list = std::vector<std::pair<std::string, std::string>>;

// A line break in a header would end it and let the writer of the claim inject
// another header.
bool is_header(const std::pair<std::string, std::string>& field)
{
    const auto is_line_break = [](char c) {
        return c == '\r' || c == '\n' || c == '\0';
    };
    return is_header_word(field.first) &&
           field.first.find(':') == std::string::npos &&
           std::ranges::none_of(field.second, is_line_break);
}

header_list read_headers(detail::field_reader& fields)
{
    header_list headers;
    const nlohmann::json* list = fields.child("headers");
    if (!list)
        return headers;
    try {
        list->get_to(headers);
    } catch (const nlohmann::json::exception&) {
        fields.problem("headers", "other JSON", "pairs of strings");
    }
    if (!std::ranges::all_of(headers, is_header))
        fields.problem("headers", "other texts", "names and values of headers");
    return headers;
}

// The status is checked because a stored answer is sent to callers unchanged.
int read_status(detail::field_reader& fields, claim_state state)
{
    constexpr std::int64_t first_final_status = 200;
    constexpr std::int64_t last_status = 599;
    const auto value = fields.integer("status", 0, last_status, 0);
    if (state == claim_state::done && value < first_final_status)
        fields.problem("status", std::to_string(value), "200 to 599");
    return static_cast<int>(value);
}

} // namespace

bool is_idempotency_key(std::string_view key)
{
    const auto visible = [](char c) { return c > ' ' && c <= '~'; };
    return !key.empty() && key.size() <= max_idempotency_key_bytes &&
           std::ranges::all_of(key, visible);
}

std::string claim_key(const service_id& service, std::string_view key)
{
    return "claims/" + service.value + "/" + hash_text(key);
}

std::string digest_request(std::string_view method, std::string_view path,
                           std::string_view body)
{
    // The lengths come first, so that different requests cannot yield the same
    // concatenation.
    std::string joined =
        std::to_string(method.size()) + "," + std::to_string(path.size()) + ",";
    joined.append(method).append(path).append(body);
    return hash_text(joined);
}

claim_row parse_claim(std::string_view text, std::string_view peer)
{
    const auto document = parse_bounded_json(text, max_claim_bytes, step, peer);
    detail::field_reader fields(document);
    claim_row row;
    row.key = fields.text("key");
    row.request_digest = fields.text("request_digest");
    row.claimant.name.value = fields.text("entry");
    row.claimant.incarnation = fields.text("incarnation");
    row.state = static_cast<claim_state>(
        fields.choice("state", {"claimed", "done", "released", "unknown"}));
    row.outcome.status = read_status(fields, row.state);
    row.outcome.body_kept = fields.boolean("body_kept", true);
    row.expires_unix_ms = fields.integer(
        "expires_unix_ms", 0, std::numeric_limits<std::int64_t>::max());
    row.outcome.body = from_hex(fields.text("body_hex", ""), fields);
    row.outcome.headers = read_headers(fields);
    fields.finish(step, peer);
    return row;
}

std::string to_text(const claim_row& row)
{
    nlohmann::json document = {
        {"key", row.key},
        {"request_digest", row.request_digest},
        {"entry", row.claimant.name.value},
        {"incarnation", row.claimant.incarnation},
        {"state", state_names.at(static_cast<std::size_t>(row.state))},
        {"expires_unix_ms", row.expires_unix_ms}};
    if (row.state == claim_state::done) {
        document["status"] = row.outcome.status;
        document["headers"] = row.outcome.headers;
        if (!row.outcome.body.empty())
            document["body_hex"] = to_hex(row.outcome.body);
        document["body_kept"] = row.outcome.body_kept;
    }
    // Headers from a target may contain bytes that are not valid UTF-8.
    return document.dump(-1, ' ', false,
                         nlohmann::json::error_handler_t::replace);
}

} // namespace vanillapost
