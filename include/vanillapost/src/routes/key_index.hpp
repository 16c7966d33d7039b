#ifndef VANILLAPOST_SRC_ROUTES_KEY_INDEX_HPP
#define VANILLAPOST_SRC_ROUTES_KEY_INDEX_HPP

#include "configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>

namespace vanillapost {

/// Finds the organisation that holds an API key.
///
/// The time of a search does not depend on how much of a wrong key is right:
/// keys are found by a hash of all their bytes, and compared without stopping
/// at the first difference.
class key_index
{
public:
    key_index() = default;

    /// \param organisations  whose keys differ; \ref check_configuration
    explicit key_index(std::span<const organisation> organisations);

    /// \return the position of the organisation in the list that was given, or
    ///         nullopt if none holds the key
    std::optional<std::size_t> find(std::string_view key) const;

private:
    struct holder
    {
        std::string key;
        std::size_t organisation = 0;
    };

    std::unordered_multimap<std::uint64_t, holder> holders_;
};

/// The token of an `Authorization` header of the scheme `Bearer` (RFC 6750).
/// \return nullopt if the header is of another scheme or has no token
std::optional<std::string_view> parse_bearer_token(std::string_view header);

} // namespace vanillapost

#endif
