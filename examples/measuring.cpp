// Probes of a held target, put off while it answers real work.
#include "vanillapost/measuring.hpp"

#include <iostream>

using namespace vanillapost;
using namespace std::chrono_literals;

int main()
{
    probe_schedule probes({.interval = 500ms});
    random_engine random(1);
    const target_id target{"a1"};
    const time_point start{};
    probes.hold(target, true, start, random);
    int idle = 0;
    int busy = 0;
    for (time_point now = start; now < start + 20s; now += 100ms) {
        const bool works = now >= start + 10s;
        if (works)
            probes.on_traffic(target, now);
        for (const auto& due : probes.start_due(now)) {
            ++(works ? busy : idle);
            probes.on_result(due, true, now);
        }
    }
    std::cout << idle << " probes while idle, " << busy << " while busy\n";
}
