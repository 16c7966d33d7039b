#include "vanillapost/src/members/member_list.hpp"

#include "vanillapost/src/members/member_codec.hpp"

#include <algorithm>
#include <vector>
#include <xxhash.h>

namespace vanillapost {

namespace {

std::uint64_t order_hash(const member& who)
{
    return XXH64(who.name.value.data(), who.name.value.size(), 0);
}

} // namespace

std::string format_member_list(const member& self,
                               std::span<const member> others,
                               std::size_t max_bytes)
{
    std::vector<member> sorted(others.begin(), others.end());
    std::ranges::sort(sorted, {}, order_hash);
    auto text = '[' + to_json(self).dump();
    for (const auto& each : sorted) {
        const auto item = ',' + to_json(each).dump();
        // One byte for the closing bracket.
        if (text.size() + item.size() + 1 > max_bytes)
            break;
        text += item;
    }
    return text + ']';
}

} // namespace vanillapost
