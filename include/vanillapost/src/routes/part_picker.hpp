#ifndef VANILLAPOST_SRC_ROUTES_PART_PICKER_HPP
#define VANILLAPOST_SRC_ROUTES_PART_PICKER_HPP

#include "configuration.hpp"

#include <map>
#include <string>

namespace vanillapost {

/// Picks the service of a request in proportion to the weights of its route.
///
/// Deterministic: after any number of requests each part is at most one
/// request away from its share, which random choice is not.
class part_picker
{
public:
    const service_id& pick(const route& rule);

    /// Forgets routes that are not in `config`.
    void retain(const configuration& config);

private:
    struct progress
    {
        std::vector<route_part> parts;
        std::vector<double> credit;
    };

    std::map<std::string, progress> routes_;
};

} // namespace vanillapost

#endif
