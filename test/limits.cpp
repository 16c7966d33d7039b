#include "vanillapost/limits.hpp"
#include "events.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <vector>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr duration grace = 1s;
constexpr time_point start{10s};
const slot_share whole{.usable = 4, .half = 2, .exclusive_until = start + 1h};

target_limiter_settings settings(int slots, int cold_slots)
{
    return {.slots = slots,
            .cold_slots = cold_slots,
            .good_per_level = 2,
            .grace = grace};
}

/// Completes `count` requests, each batch as wide as the limit allows.
void work(target_limiter& limiter, time_point now, int count)
{
    std::vector<slot_ticket> running;
    while (count > 0) {
        while (auto ticket = limiter.try_acquire(now, whole, now + 1s))
            running.push_back(*ticket);
        ASSERT_FALSE(running.empty());
        for (const auto& ticket : running) {
            limiter.finish(ticket, now, completion::good, target_state::warm);
            --count;
        }
        running.clear();
    }
}

/// What the target has been sent and may still run.
struct sent_request
{
    slot_ticket ticket;
    time_point arrives;
    bool open = true;    ///< the holder waits for its end
    bool may_run = true; ///< until its deadline
};

/// Two holders in turn, where the first may be slow to notice.
class two_claimants
{
public:
    two_claimants()
        : holders_{target_limiter(settings(slots, slots)),
                   target_limiter(settings(slots, slots))}
    {
        holders_[0].mark_warm();
        holders_[1].mark_warm();
    }

    void step(std::uint32_t event)
    {
        now_ += duration(1ms) * (event >> 26);
        const std::size_t who = (event >> 3) & 1;
        switch (event & 7) {
        case 0:
            finish_one(event);
            break;
        case 1:
            if (now_ < confirmed_ + 150ms)
                confirmed_ = now_;
            break;
        default:
            send(who, event);
        }
    }

    int running() const
    {
        int count = 0;
        for (const auto& request : sent_) {
            const bool reached = request.arrives < request.ticket.deadline;
            count += request.may_run && reached && request.arrives <= now_ &&
                     now_ < request.ticket.deadline;
        }
        return count;
    }

    static constexpr int slots = 4;

private:
    void send(std::size_t who, std::uint32_t event)
    {
        const time_point until = confirmed_ + 500ms;
        // The second claimant enters once the first one's confirmation and
        // the grace are over.
        if (who == 1 && now_ < until + grace)
            return;
        const bool alone = who == 0 && now_ < until;
        const slot_share share{.usable = alone ? slots : slots / 2,
                               .half = slots / 2,
                               .exclusive_until = who == 0 ? until : start};
        const duration wanted = 100ms * (1 + ((event >> 8) & 63));
        const auto ticket =
            holders_[who].try_acquire(now_, share, now_ + wanted);
        if (!ticket)
            return;
        // A pause between the check and the send delays the arrival.
        const duration pause = 1ms * ((event >> 14) & 1023);
        sent_.push_back({*ticket, now_ + pause});
        owners_.push_back(who);
    }

    void finish_one(std::uint32_t event)
    {
        if (sent_.empty())
            return;
        const std::size_t at = (event >> 8) % sent_.size();
        sent_request& request = sent_[at];
        if (!request.open || request.arrives > now_)
            return;
        request.open = false;
        const bool answered = (event >> 4) & 1;
        request.may_run = !answered;
        holders_[owners_[at]].finish(request.ticket, now_,
                                     answered ? completion::good
                                              : completion::timed_out,
                                     target_state::warm);
    }

    target_limiter holders_[2];
    std::vector<sent_request> sent_;
    std::vector<std::size_t> owners_;
    time_point now_ = start;
    time_point confirmed_ = start;
};

} // namespace

RC_GTEST_PROP(limits, two_claimants_never_exceed_the_limit_together, ())
{
    two_claimants model;
    for (std::uint32_t event : test::draw_events(400)) {
        model.step(event);
        RC_ASSERT(model.running() <= two_claimants::slots);
    }
}

RC_GTEST_PROP(limits, cold_target_bears_no_more_than_it_has_proven, ())
{
    const int slots = *rc::gen::inRange(1, 6);
    const int cold_slots = *rc::gen::inRange(1, slots + 1);
    target_limiter limiter(settings(slots, cold_slots));
    slot_share share = whole;
    share.usable = slots;
    share.half = slots / 2;
    std::vector<slot_ticket> running;
    time_point now = start;
    int good_since_cold = 0;
    for (std::uint32_t event : test::draw_events(400)) {
        now += duration(1s) * (event >> 28);
        if ((event & 1) == 0) {
            if (auto ticket = limiter.try_acquire(now, share, now + 1h))
                running.push_back(*ticket);
            const int proven = cold_slots + good_since_cold / 2;
            RC_ASSERT(limiter.limit(now, share) <= std::min(slots, proven));
        } else if (!running.empty()) {
            const bool cold = (event & 14) == 0;
            limiter.finish(running.back(), now,
                           cold ? completion::shed : completion::good,
                           target_state::unknown);
            running.pop_back();
            good_since_cold = cold ? 0 : good_since_cold + 1;
        }
    }
}

TEST(limits, ramp_goes_by_completed_work_at_its_level)
{
    target_limiter limiter(settings(4, 1));
    EXPECT_EQ(limiter.limit(start, whole), 1);
    EXPECT_EQ(limiter.limit(start + 30min, whole), 1);
    work(limiter, start, 2);
    EXPECT_EQ(limiter.limit(start, whole), 2);
    // One at a time proves nothing of two at a time.
    for (int i = 0; i < 20; ++i) {
        const auto ticket = limiter.try_acquire(start, whole, start + 1s);
        limiter.finish(*ticket, start, completion::good, target_state::warm);
    }
    EXPECT_EQ(limiter.limit(start, whole), 2);
    work(limiter, start, 30);
    EXPECT_TRUE(limiter.warm());
    EXPECT_EQ(limiter.limit(start, whole), 4);
}

TEST(limits, any_sign_of_cold_drops_the_limit_at_once)
{
    const auto warm = [] {
        target_limiter limiter(settings(4, 1));
        limiter.mark_warm();
        return limiter;
    };
    target_limiter header = warm();
    header.finish(*header.try_acquire(start, whole, start + 1s), start,
                  completion::good, target_state::cold);
    EXPECT_EQ(header.limit(start, whole), 1);
    for (completion how :
         {completion::shed, completion::refused, completion::broken}) {
        target_limiter limiter = warm();
        limiter.finish(*limiter.try_acquire(start, whole, start + 1s), start,
                       how, target_state::unknown);
        EXPECT_EQ(limiter.limit(start, whole), 1);
    }
    target_limiter restarted = warm();
    restarted.on_state(target_state::draining);
    EXPECT_EQ(restarted.limit(start, whole), 0);
    restarted.on_state(target_state::warm);
    EXPECT_EQ(restarted.limit(start, whole), 1);
}

TEST(limits, cold_target_of_one_request_gets_none_while_not_alone)
{
    target_limiter limiter(settings(4, 1));
    const slot_share shared{.usable = 2, .half = 2};
    EXPECT_FALSE(limiter.try_acquire(start, shared, start + 1s));
}

TEST(limits, no_deadline_is_later_than_the_longest_attempt)
{
    target_limiter limiter(settings(4, 4));
    EXPECT_EQ(limiter.try_acquire(start, whole, start + 1h)->deadline,
              start + 5s);
}

TEST(limits, lapsed_share_is_worth_half)
{
    target_limiter limiter(settings(4, 4));
    limiter.mark_warm();
    EXPECT_EQ(limiter.limit(whole.exclusive_until - 1us, whole), 4);
    EXPECT_EQ(limiter.limit(whole.exclusive_until, whole), 2);
}

TEST(limits, unknown_outcome_keeps_the_slot_until_the_deadline)
{
    target_limiter limiter(settings(4, 4));
    limiter.mark_warm();
    const auto ticket = limiter.try_acquire(start, whole, start + 1s);
    limiter.finish(*ticket, start, completion::timed_out,
                   target_state::unknown);
    EXPECT_EQ(limiter.in_flight(start + 1s), 1);
    EXPECT_EQ(limiter.in_flight(start + 1s + 50ms), 0);
}

TEST(limits, cancelled_slot_is_free_once_the_target_answers_later_work)
{
    target_limiter limiter(settings(4, 4));
    limiter.mark_warm();
    const auto ticket = limiter.try_acquire(start, whole, start + 10s);
    limiter.finish(*ticket, start, completion::cancelled,
                   target_state::unknown);
    limiter.on_alive(start + 1ms);
    EXPECT_EQ(limiter.in_flight(start + 1s), 1);
    limiter.on_alive(start + 20ms);
    EXPECT_EQ(limiter.in_flight(start + 1s), 0);
}

TEST(limits, raised_limit_is_used_and_a_warm_target_stays_warm)
{
    target_limiter limiter(settings(2, 1));
    limiter.mark_warm();
    limiter.change_limits(4, 1, 200);
    EXPECT_EQ(limiter.limit(start, whole), 4);
    limiter.set_leaving(true);
    EXPECT_EQ(limiter.limit(start, whole), 0);
}
