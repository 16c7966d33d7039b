// What follows a failed attempt, within a budget of one retry in ten.
#include "vanillapost/retry.hpp"

#include <iostream>

using namespace vanillapost;
using namespace std::chrono_literals;

int main()
{
    retry_budget budget;
    random_engine random(1);
    const time_point now{};
    const request_facts lookup{.kind = request_class::lookup,
                               .deadline = now + 1s};
    const request_facts booking{.kind = request_class::booking,
                                .deadline = now + 1s};
    for (const auto& request : {booking, lookup, lookup}) {
        const auto decision = decide_retry({.ran = run_state::maybe}, request,
                                           now, {}, budget, random);
        const bool again = std::holds_alternative<retry_at>(decision);
        std::cout << (again ? "send again" : "give up") << '\n';
    }
}
