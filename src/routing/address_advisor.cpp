#include "vanillapost/src/routing/address_advisor.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace vanillapost {

namespace {

/// Slots of one service by the data centre of their holders.
class slot_spread
{
public:
    slot_spread(std::span<const advised_entry> entries,
                const service_id& service, const data_centre_id& caller)
        : service_(service)
    {
        by_centre_[caller] = 0;
        for (const advised_entry& entry : entries) {
            if (entry.leaving)
                continue;
            by_centre_[entry.data_centre] += slots_of(entry);
            total_ += slots_of(entry);
        }
    }

    int slots_of(const advised_entry& entry) const
    {
        const auto held = entry.held_slots.find(service_);
        return held == entry.held_slots.end() ? 0 : held->second;
    }

    /// Slots of a data centre less what its own callers need, when all data
    /// centres have as many callers; negative when it is short.
    double surplus(const data_centre_id& centre) const
    {
        return by_centre_.at(centre) - fair_share();
    }

    /// Share of the callers that their own data centre can serve.
    double servable(const data_centre_id& centre) const
    {
        const double fair = fair_share();
        return fair > 0 ? std::min(1.0, by_centre_.at(centre) / fair) : 1;
    }

    /// What an entry takes of callers from data centres that are short.
    double spill_weight(const advised_entry& entry) const
    {
        const double slots = slots_of(entry);
        const double spare = std::max(0.0, surplus(entry.data_centre));
        return slots * spare / std::max(1, by_centre_.at(entry.data_centre));
    }

private:
    double fair_share() const
    {
        return static_cast<double>(total_) /
               static_cast<double>(by_centre_.size());
    }

    const service_id& service_;
    std::map<data_centre_id, int> by_centre_;
    int total_ = 0;
};

struct ranked_entry
{
    const advised_entry* entry;
    int group;  ///< lower ones come first
    double key; ///< higher ones come first within a group
};

/// Key of a weighted random order, after Efraimidis and Spirakis.
double random_key(double weight, random_engine& random)
{
    constexpr double least_weight = 1e-3;
    std::uniform_real_distribution<double> draw(1e-9, 1);
    return std::log(draw(random)) / std::max(least_weight, weight);
}

/// \param spill  whether this caller is to use another data centre
ranked_entry rank(const advised_entry& entry, const slot_spread& spread,
                  const data_centre_id& caller, bool spill,
                  random_engine& random)
{
    const bool holds = spread.slots_of(entry) > 0;
    const bool local = entry.data_centre == caller;
    const bool first = local != spill;
    const int group = (holds ? 0 : 2) + (first ? 0 : 1);
    const double weight =
        local || !spill ? spread.slots_of(entry) : spread.spill_weight(entry);
    return {&entry, group, random_key(weight, random)};
}

} // namespace

std::vector<std::string>
advise_addresses(std::span<const advised_entry> entries,
                 const service_id& service, const data_centre_id& caller,
                 std::size_t most, random_engine& random)
{
    const slot_spread spread(entries, service, caller);
    std::uniform_real_distribution<double> draw(0, 1);
    const bool spill = draw(random) >= spread.servable(caller);
    std::vector<ranked_entry> ranked;
    for (const advised_entry& entry : entries) {
        if (!entry.leaving)
            ranked.push_back(rank(entry, spread, caller, spill, random));
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
