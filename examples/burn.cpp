// Burn rates of a service over several windows, across a restart.
#include "vanillapost/burn.hpp"

#include <iostream>

using namespace vanillapost;
using namespace std::chrono_literals;

int main()
{
    burn_tracker tracker({.objective = 0.999});
    const time_point start{};
    tracker.observe("entry-1", start, {0, 0}, true);
    tracker.observe("entry-1", start + 3min, {1000, 1000});
    // The counters start over: the entry was restarted.
    tracker.observe("entry-1", start + 6min, {90, 100});
    for (duration length : burn_windows) {
        const burn_window window = tracker.window(length, start + 6min);
        std::cout << length / 1min << " min: " << window.answers.total
                  << " answers, burn rate " << window.burn_rate(0.999) << '\n';
    }
}
