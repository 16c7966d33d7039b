#include "vanillapost/src/members/address_selection.hpp"

#include <algorithm>

namespace vanillapost {

std::vector<std::string> select_addresses(std::span<const member> ready,
                                          const data_centre_id& data_centre,
                                          random_engine& random)
{
    std::vector<std::string> local;
    std::vector<std::string> others;
    for (const auto& each : ready) {
        auto& list = each.data_centre == data_centre ? local : others;
        list.push_back(each.caller_address);
    }
    auto& chosen = local.empty() ? others : local;
    if (chosen.size() > max_returned_addresses) {
        std::ranges::shuffle(chosen, random);
        chosen.resize(max_returned_addresses);
    }
    return chosen;
}

} // namespace vanillapost
