#ifndef VANILLAPOST_SRC_RECORDS_PARSE_RECORD_HPP
#define VANILLAPOST_SRC_RECORDS_PARSE_RECORD_HPP

#include "field_error.hpp"
#include "record.hpp"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace vanillapost {

/// Longest text of one record, in bytes.
inline constexpr std::size_t max_record_bytes = 16 * 1024;

/// Deepest nesting of JSON that is read from outside.
inline constexpr int max_json_depth = 16;

/// Parses JSON from an untrusted source within limits on size and depth.
///
/// \throws error  when it is too long, too deep or not JSON
nlohmann::json parse_bounded_json(std::string_view text, std::size_t max_bytes,
                                  std::string_view step, std::string_view peer);

/// Parses a record of schema version 1 or 2.
///
/// \param text  the JSON document
/// \param peer  where it came from, for the error
/// \throws field_error  naming every field that is wrong
record parse_record(std::string_view text, std::string_view peer);

/// Same, from JSON that is parsed already.
record parse_record_document(const nlohmann::json& document,
                             std::string_view peer);

/// The record as JSON of schema version 2.
nlohmann::json to_json(const record& value);

} // namespace vanillapost

#endif
