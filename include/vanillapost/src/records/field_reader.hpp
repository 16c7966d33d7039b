#ifndef VANILLAPOST_SRC_RECORDS_FIELD_READER_HPP
#define VANILLAPOST_SRC_RECORDS_FIELD_READER_HPP

#include "field_error.hpp"

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace vanillapost::detail {

/// Reads the fields of a JSON object and collects every problem, so that a
/// document is refused once with all that is wrong with it.
///
/// \note Read every known field, then call `finish`.
class field_reader
{
public:
    /// \param path  prefix of field names in problems, "" at the root
    explicit field_reader(const nlohmann::json& object, std::string path = "");

    std::string text(std::string_view name);
    std::string text(std::string_view name, std::string_view fallback);
    std::int64_t integer(std::string_view name, std::int64_t low,
                         std::int64_t high);
    std::int64_t integer(std::string_view name, std::int64_t low,
                         std::int64_t high, std::int64_t fallback);
    std::optional<std::int64_t> optional_integer(std::string_view name,
                                                 std::int64_t low,
                                                 std::int64_t high);
    double number(std::string_view name, double low, double high,
                  double fallback);
    bool boolean(std::string_view name, bool fallback);

    /// Position of the field's text in `choices`; 0 after a problem.
    std::size_t choice(std::string_view name,
                       std::initializer_list<std::string_view> choices,
                       std::optional<std::size_t> fallback = std::nullopt);

    /// The nested value, or null when it is absent.
    const nlohmann::json* child(std::string_view name);

    /// Notes a problem that the caller found itself.
    void problem(std::string_view name, std::string_view found,
                 std::string_view expected);

    /// Takes over the problems of a nested reader.
    void merge(field_reader& nested);

    /// Reports unknown fields and throws \ref field_error if there were
    /// problems.
    void finish(std::string_view step, std::string_view peer);

    /// Notes every field that was not read.
    void reject_unknown();

private:
    const nlohmann::json* find(std::string_view name);
    const nlohmann::json* require(std::string_view name,
                                  std::string_view expected);
    std::int64_t checked(std::string_view name, const nlohmann::json& value,
                         std::int64_t low, std::int64_t high);

    const nlohmann::json* object_;
    std::string path_;
    std::set<std::string, std::less<>> known_;
    std::vector<field_problem> problems_;
};

} // namespace vanillapost::detail

#endif
