// A target that fails fast attracts no work.
#include "vanillapost/routing.hpp"

#include <iostream>
#include <map>
#include <vector>

using namespace vanillapost;
using namespace std::chrono_literals;

int main()
{
    target_picker picker;
    random_engine random(1);
    const std::vector<target_candidate> candidates = {
        {.target = {"good"}, .limit = 2}, {.target = {"broken"}, .limit = 2}};
    std::map<target_id, int> picked;
    for (time_point now{}; now < time_point(5s); now += 10ms) {
        const auto target = picker.pick(candidates, now, random);
        if (!target)
            continue;
        ++picked[*target];
        picker.on_dispatch(*target);
        const bool broken = target->value == "broken";
        picker.on_answer(*target, now, broken ? 100us : 10ms,
                         broken ? answer_quality::failed
                                : answer_quality::good);
    }
    for (const auto& [target, count] : picked)
        std::cout << target.value << ' ' << count << '\n';
}
