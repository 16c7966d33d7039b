#include "vanillapost/routing.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace vanillapost;

namespace {

const service_id lookup{"lookup"};
const entry_id one{"e1"};
constexpr time_point start{std::chrono::seconds(100)};

peer_picker picker_with(int free)
{
    peer_picker peers({.own_data_centre = {"a"}});
    peers.on_status(one, {"a"}, false, {{lookup, free}}, start);
    return peers;
}

} // namespace

TEST(peer_picker, a_placed_forward_gives_its_slot_back)
{
    auto peers = picker_with(1);
    peers.on_forward(one, lookup, start);
    EXPECT_EQ(peers.estimated_free(one, lookup, start), 0);
    peers.on_result(one, lookup, forward_result::placed, start);
    EXPECT_EQ(peers.estimated_free(one, lookup, start), 1);
}

TEST(peer_picker, an_answer_can_say_what_is_free)
{
    auto peers = picker_with(0);
    EXPECT_EQ(peers.estimated_free(one, lookup, start), 0);
    peers.on_free_slots(one, lookup, 2, start);
    EXPECT_EQ(peers.estimated_free(one, lookup, start), 2);
}

RC_GTEST_PROP(peer_picker, guesses_one_forward_at_a_time, ())
{
    auto peers = picker_with(0);
    random_engine random(1);
    const auto backoff = peer_picker_settings{}.full_backoff;
    const auto asked = *rc::gen::inRange(1, 200);
    auto now = start;
    int sent = 0;
    for (int i = 0; i < asked; ++i) {
        now += duration(*rc::gen::inRange(0, 2000));
        if (peers.pick(lookup, {}, now, random)) {
            peers.on_forward(one, lookup, now);
            ++sent;
        }
    }
    RC_ASSERT(sent <= (now - start) / backoff + 1);
}
