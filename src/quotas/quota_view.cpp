#include "vanillapost/src/quotas/quota_view.hpp"

#include <algorithm>
#include <xxhash.h>

namespace vanillapost {

namespace {

constexpr std::size_t max_owners = 2;

struct ranked
{
    std::uint64_t weight;
    const entry_id* name;
};

} // namespace

bool has_majority(const quota_view& view)
{
    return view.members.size() * 2 > view.known;
}

std::vector<entry_id> quota_owners(const organisation_id& organisation,
                                   const quota_view& view)
{
    std::vector<ranked> order;
    order.reserve(view.members.size());
    for (const auto& name : view.members) {
        const auto text = organisation.value + '\n' + name.value;
        order.push_back({XXH64(text.data(), text.size(), 0), &name});
    }
    const auto count = std::min(order.size(), max_owners);
    const auto middle = order.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(order, middle, std::greater{}, &ranked::weight);
    std::vector<entry_id> owners;
    for (auto each = order.begin(); each != middle; ++each)
        owners.push_back(*each->name);
    return owners;
}

} // namespace vanillapost
