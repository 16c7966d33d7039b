#include "vanillapost/src/routing/placement_policy.hpp"

#include <algorithm>
#include <vector>

namespace vanillapost {

namespace {

using options_view = std::span<const placement_option>;

/// Positions of the targets that take work at all.
std::vector<std::size_t> open_positions(options_view options)
{
    std::vector<std::size_t> positions;
    for (std::size_t i = 0; i < options.size(); ++i) {
        if (options[i].own.limit > 0)
            positions.push_back(i);
    }
    return positions;
}

std::size_t draw(const std::vector<std::size_t>& positions,
                 random_engine& random)
{
    return positions[random(static_cast<std::uint32_t>(positions.size()))];
}

/// Chooses among positions by the rule of one policy.
struct placer
{
    options_view options;
    time_point now;
    random_engine& random;

    std::optional<std::size_t> operator()(held_placement& policy) const
    {
        std::vector<target_candidate> candidates;
        candidates.reserve(options.size());
        for (const placement_option& option : options)
            candidates.push_back(option.own);
        const auto target = policy.picker.pick(candidates, now, random);
        if (!target)
            return std::nullopt;
        const auto at =
            std::ranges::find(candidates, *target, &target_candidate::target);
        return static_cast<std::size_t>(at - candidates.begin());
    }

    std::optional<std::size_t> operator()(random_placement&) const
    {
        const auto open = open_positions(options);
        if (open.empty())
            return std::nullopt;
        return draw(open, random);
    }

    std::optional<std::size_t> operator()(round_robin_placement& policy) const
    {
        const auto open = open_positions(options);
        if (open.empty())
            return std::nullopt;
        return open[policy.next++ % open.size()];
    }

    std::optional<std::size_t> operator()(least_reported_placement&) const
    {
        const auto open = open_positions(options);
        std::optional<std::size_t> best;
        std::uint32_t ties = 0;
        for (std::size_t i : open) {
            const double load = options[i].reported_load;
            const double least = best ? options[*best].reported_load : load;
            if (best && load > least)
                continue;
            ties = best && load == least ? ties + 1 : 1;
            if (random(ties) == 0)
                best = i;
        }
        return best;
    }

    std::optional<std::size_t> operator()(two_choices_placement&) const
    {
        const auto open = open_positions(options);
        if (open.empty())
            return std::nullopt;
        const std::size_t first = draw(open, random);
        const std::size_t second = draw(open, random);
        const bool second_better =
            options[second].reported_load < options[first].reported_load;
        return second_better ? second : first;
    }
};

struct namer
{
    std::string_view operator()(const held_placement&) const
    {
        return "holds";
    }
    std::string_view operator()(const random_placement&) const
    {
        return "random";
    }
    std::string_view operator()(const round_robin_placement&) const
    {
        return "round_robin";
    }
    std::string_view operator()(const least_reported_placement&) const
    {
        return "least_reported";
    }
    std::string_view operator()(const two_choices_placement&) const
    {
        return "two_choices";
    }
};

} // namespace

std::optional<std::size_t> place(placement_policy& policy,
                                 std::span<const placement_option> options,
                                 time_point now, random_engine& random)
{
    return std::visit(placer{options, now, random}, policy);
}

std::string_view name_of(const placement_policy& policy)
{
    return std::visit(namer{}, policy);
}

} // namespace vanillapost
