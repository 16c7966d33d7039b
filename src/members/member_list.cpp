#include "vanillapost/src/members/member_list.hpp"

#include "vanillapost/src/members/member_codec.hpp"

#include <algorithm>
#include <vector>
#include <xxhash.h>

namespace vanillapost {

namespace {

std::uint64_t place_of(const member& who)
{
    return XXH64(who.name.value.data(), who.name.value.size(), 0);
}

} // namespace

std::string format_member_list(const member& self,
                               std::span<const member> others,
                               std::size_t max_bytes)
{
    std::vector<member> order(others.begin(), others.end());
    std::ranges::sort(order, {}, place_of);
    auto text = '[' + to_json(self).dump();
    for (const auto& each : order) {
        const auto more = ',' + to_json(each).dump();
        // The bracket at the end.
        if (text.size() + more.size() + 1 > max_bytes)
            break;
        text += more;
    }
    return text + ']';
}

} // namespace vanillapost
