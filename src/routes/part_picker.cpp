#include "vanillapost/src/routes/part_picker.hpp"

#include <algorithm>
#include <cassert>
#include <set>

namespace vanillapost {

const service_id& part_picker::pick(const route& rule)
{
    assert(!rule.parts.empty());
    if (rule.parts.size() == 1)
        return rule.parts.front().service;
    auto& state = routes_[rule.name];
    if (state.parts != rule.parts) {
        state.parts = rule.parts;
        state.credit.assign(rule.parts.size(), 0.0);
    }
    double sum = 0;
    for (std::size_t i = 0; i < rule.parts.size(); ++i) {
        state.credit[i] += rule.parts[i].weight;
        sum += rule.parts[i].weight;
    }
    const auto most = std::ranges::max_element(state.credit);
    *most -= sum;
    return rule.parts[static_cast<std::size_t>(most - state.credit.begin())]
        .service;
}

void part_picker::retain(const configuration& config)
{
    std::set<std::string> names;
    for (const auto& rule : config.routes)
        names.insert(rule.name);
    std::erase_if(
        routes_, [&](const auto& each) { return !names.contains(each.first); });
}

} // namespace vanillapost
