#include "vanillapost/src/routing/address_advisor.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace vanillapost {

namespace {

struct ranked_entry
{
    const advised_entry* entry;
    int group;  ///< lower ones come first
    double key; ///< higher ones come first within a group
};

int group_of(bool holds, bool local)
{
    if (holds)
        return local ? 0 : 1;
    return local ? 2 : 3;
}

/// Key of a weighted random order, after Efraimidis and Spirakis.
double random_key(int weight, random_engine& random)
{
    std::uniform_real_distribution<double> draw(1e-9, 1);
    return std::log(draw(random)) / std::max(1, weight);
}

} // namespace

std::vector<std::string>
advise_addresses(std::span<const advised_entry> entries,
                 const service_id& service, const data_centre_id& caller,
                 std::size_t most, random_engine& random)
{
    std::vector<ranked_entry> ranked;
    for (const advised_entry& entry : entries) {
        if (entry.leaving)
            continue;
        const auto held = entry.held_slots.find(service);
        const int slots = held == entry.held_slots.end() ? 0 : held->second;
        const bool local = entry.data_centre == caller;
        ranked.push_back(
            {&entry, group_of(slots > 0, local), random_key(slots, random)});
    }
    std::ranges::sort(ranked, [](const auto& left, const auto& right) {
        if (left.group != right.group)
            return left.group < right.group;
        return left.key > right.key;
    });
    std::vector<std::string> addresses;
    for (const ranked_entry& entry : ranked) {
        if (addresses.size() == most)
            break;
        addresses.push_back(entry.entry->address);
    }
    return addresses;
}

} // namespace vanillapost
