#ifndef VANILLAPOST_SRC_BASE_IDENTIFIER_HPP
#define VANILLAPOST_SRC_BASE_IDENTIFIER_HPP

#include <compare>
#include <functional>
#include <string>

namespace vanillapost {

/// A name of one kind of thing; names of two kinds do not mix.
///
/// \tparam Tag  the kind, never defined
template <class Tag>
struct identifier
{
    std::string value;

    auto operator<=>(const identifier&) const = default;

    bool empty() const
    {
        return value.empty();
    }
};

using target_id = identifier<struct target_tag>;
using service_id = identifier<struct service_tag>;
using data_centre_id = identifier<struct data_centre_tag>;
using organisation_id = identifier<struct organisation_tag>;

/// Name of an entry instance, stable over restarts.
using entry_id = identifier<struct entry_tag>;

/// One process under an entry's name. A restart gets a new incarnation.
struct entry_incarnation
{
    entry_id name;
    std::string incarnation;

    auto operator<=>(const entry_incarnation&) const = default;
};

} // namespace vanillapost

template <class Tag>
struct std::hash<vanillapost::identifier<Tag>>
{
    std::size_t operator()(const vanillapost::identifier<Tag>& id) const
    {
        return std::hash<std::string>{}(id.value);
    }
};

#endif
