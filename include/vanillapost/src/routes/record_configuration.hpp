#ifndef VANILLAPOST_SRC_ROUTES_RECORD_CONFIGURATION_HPP
#define VANILLAPOST_SRC_ROUTES_RECORD_CONFIGURATION_HPP

#include "../records/record_set.hpp"
#include "../targets/listed_target.hpp"
#include "configuration.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace vanillapost {

/// Path under which every service can be called by its name.
inline constexpr std::string_view call_prefix = "/v1/call/";

/// A route record that cannot be used beside the other records.
struct unusable_route
{
    std::string name;
    std::string reason;
};

/// What a set of records comes to.
struct record_configuration
{
    configuration config; ///< without the unusable routes
    std::vector<unusable_route> unusable;
};

/// The configuration of all records in force; its version is the revision of
/// the newest one. A route that names an unknown service, or a host and prefix
/// that another one has, is left out and the others hold.
record_configuration make_configuration(const record_set& records);

/// The targets of all records in force. Limits of services and data centres
/// are shared out over the slots of their targets; a target that operators
/// have taken out counts as draining.
std::vector<listed_target> make_targets(const record_set& records);

} // namespace vanillapost

#endif
