// Takes in two lists and prints which process is known to have ended.
#include <iostream>
#include <vanillapost/membership.hpp>

int main()
{
    using namespace vanillapost;
    using namespace std::chrono_literals;
    const entry_incarnation before{{"e1"}, "1"};
    const entry_incarnation after{{"e1"}, "2"};
    const time_point start{10s};

    liveness members;
    members.apply({1s, {{before, {"a"}, "", "", false}}}, start, start);
    members.apply({1s, {{after, {"a"}, "", "", false}}}, start + 2s,
                  start + 2s);
    const bool ended = members.ended_since(before).has_value();
    std::cout << "e1/1 " << (ended ? "ended" : "unknown") << ", e1/2 "
              << (members.is_live(after) ? "live" : "unknown") << "\n";
    return ended && members.is_live(after) ? 0 : 1;
}
