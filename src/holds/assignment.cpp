#include "vanillapost/src/holds/assignment.hpp"

#include <algorithm>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace vanillapost {

namespace {

struct placed_entry
{
    entry_incarnation who;
    std::size_t targets = 0;
};

std::vector<placed_entry> candidates(const data_centre_id& centre,
                                     std::span<const listed_instance> entries)
{
    std::vector<placed_entry> near;
    std::vector<placed_entry> all;
    for (const listed_instance& entry : entries) {
        all.push_back({entry.who});
        if (entry.data_centre == centre) {
            near.push_back({entry.who});
        }
    }
    return near.empty() ? all : near;
}

placed_entry* best_with_room(const target_id& target,
                             std::vector<placed_entry>& entries,
                             std::size_t bound)
{
    placed_entry* best = nullptr;
    std::uint64_t best_score = 0;
    for (placed_entry& entry : entries) {
        const auto score = rendezvous_score(target.value, entry.who.name);
        if (entry.targets < bound && (!best || score > best_score)) {
            best = &entry;
            best_score = score;
        }
    }
    return best;
}

} // namespace

std::uint64_t rendezvous_score(std::string_view key, const entry_id& entry)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(entry.value.data(), entry.value.size(), seed);
}

assignment::assignment(std::span<const hold_target> targets,
                       std::span<const listed_instance> entries)
{
    std::map<std::pair<service_id, data_centre_id>, std::vector<target_id>>
        groups;
    for (const hold_target& target : targets) {
        groups[{target.service, target.data_centre}].push_back(target.name);
    }
    for (auto& [group, names] : groups) {
        std::vector<placed_entry> places = candidates(group.second, entries);
        if (places.empty()) {
            continue;
        }
        std::sort(names.begin(), names.end());
        const std::size_t bound =
            (names.size() + places.size() - 1) / places.size();
        for (const target_id& name : names) {
            placed_entry* place = best_with_room(name, places, bound);
            ++place->targets;
            desired_[name] = place->who;
        }
    }
}

std::optional<entry_incarnation>
assignment::desired(const target_id& target) const
{
    const auto found = desired_.find(target);
    if (found == desired_.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::optional<entry_incarnation>
choose_successor(const entry_incarnation& holder,
                 const data_centre_id& holder_centre,
                 std::span<const listed_instance> entries)
{
    const listed_instance* best = nullptr;
    std::pair<bool, std::uint64_t> best_rank;
    for (const listed_instance& entry : entries) {
        if (entry.who.name == holder.name) {
            continue;
        }
        const std::pair rank(
            entry.data_centre != holder_centre,
            rendezvous_score(holder.name.value, entry.who.name));
        if (!best || rank > best_rank) {
            best = &entry;
            best_rank = rank;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return best->who;
}

} // namespace vanillapost
