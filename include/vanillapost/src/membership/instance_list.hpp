#ifndef VANILLAPOST_SRC_MEMBERSHIP_INSTANCE_LIST_HPP
#define VANILLAPOST_SRC_MEMBERSHIP_INSTANCE_LIST_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <string>
#include <vector>

namespace vanillapost {

/// An entry as the platform's lagging list shows it.
struct listed_instance
{
    entry_incarnation who;
    data_centre_id data_centre;
    std::string http_address;
    std::string mesh_address;
    bool leaving = false;
};

struct instance_list
{
    duration age{}; ///< how far the list lags behind, as the platform says
    std::vector<listed_instance> instances;
};

} // namespace vanillapost

#endif
