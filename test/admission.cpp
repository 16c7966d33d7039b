#include "vanillapost/admission.hpp"
#include "events.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <set>
#include <vector>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{10s};
constexpr int queue_limit = 8;
constexpr int total_limit = 12;

const std::array<service_id, 3> services = {
    service_id{"booking"}, service_id{"lookup"}, service_id{"download"}};

admission_queue new_queue()
{
    admission_queue queue({.total_limit = total_limit});
    for (std::size_t i = 0; i < services.size(); ++i) {
        service_record record;
        record.name = services[i];
        record.kind = static_cast<request_class>(i);
        record.queue_limit = queue_limit;
        queue.configure(record);
    }
    return queue;
}

waiting_request request(std::uint64_t id, std::size_t service,
                        time_point deadline)
{
    return {.id = id,
            .service = services[service],
            .kind = static_cast<request_class>(service),
            .deadline = deadline};
}

bool waits(const admission_result& result)
{
    return std::holds_alternative<queued>(result.verdict);
}

/// Drives a queue by events and checks what comes out.
class queue_run
{
public:
    void step(std::uint32_t event)
    {
        now_ += duration(1ms) * ((event >> 8) & 31);
        for (const auto& refused : queue_.expire(now_))
            leave(refused.request.id);
        switch (event & 7) {
        case 0:
        case 1:
            take();
            break;
        case 2:
            if (running_[service_of(event)] > 0) {
                --running_[service_of(event)];
                queue_.on_completion(services[service_of(event)], now_, 20ms);
            }
            break;
        case 3:
            if (!waiting_.empty())
                remove(*waiting_.begin());
            break;
        default:
            offer(event);
        }
        RC_ASSERT(queue_.waiting() == waiting_.size());
        RC_ASSERT(waiting_.size() <= std::size_t(total_limit));
    }

    void finish()
    {
        now_ += 1h;
        for (const auto& refused : queue_.expire(now_))
            leave(refused.request.id);
        RC_ASSERT(waiting_.empty());
        RC_ASSERT(!queue_.next_expiry());
    }

private:
    static std::size_t service_of(std::uint32_t event)
    {
        return (event >> 4) % services.size();
    }

    void offer(std::uint32_t event)
    {
        const std::uint64_t id = next_++;
        const auto deadline = now_ + 1ms * ((event >> 16) & 255);
        by_id_.push_back(request(id, service_of(event), deadline));
        const auto result = queue_.offer(by_id_.back(), now_);
        for (const auto& refused : result.displaced) {
            RC_ASSERT(refused.request.kind > by_id_.back().kind);
            leave(refused.request.id);
        }
        if (waits(result))
            waiting_.insert(id);
        else
            RC_ASSERT(std::get<refused_request>(result.verdict).retry_after >
                      0ms);
    }

    void take()
    {
        auto can_run = services;
        if (next_ % 2 == 0)
            std::ranges::reverse(can_run);
        const auto taken = queue_.take(can_run, now_);
        if (!taken)
            return;
        RC_ASSERT(taken->deadline > now_);
        for (std::uint64_t id : waiting_) {
            const auto& other = by_id_[id];
            RC_ASSERT(taken->kind <= other.kind);
            if (other.kind == taken->kind)
                RC_ASSERT(taken->deadline <= other.deadline);
        }
        if (next_ % 3 == 0)
            return queue_.put_back(*taken);
        leave(taken->id);
        ++running_[static_cast<std::size_t>(taken->kind)];
        queue_.on_start(taken->service);
    }

    void remove(std::uint64_t id)
    {
        RC_ASSERT(queue_.remove(by_id_[id].service, id));
        leave(id);
    }

    void leave(std::uint64_t id)
    {
        RC_ASSERT(waiting_.erase(id) == 1u);
    }

    admission_queue queue_ = new_queue();
    time_point now_ = start;
    std::uint64_t next_ = 0;
    std::vector<waiting_request> by_id_;
    std::set<std::uint64_t> waiting_;
    std::array<int, 3> running_{};
};

/// Has the service complete one request each 10 ms while others wait.
void measure(admission_queue& queue, time_point& now)
{
    const auto far = now + 1h;
    for (std::uint64_t i = 0; i < 20; ++i) {
        queue.offer(request(1000 + i, 1, far), now);
        queue.offer(request(2000 + i, 1, far), now);
        queue.on_start(services[1]);
        queue.take(services[1], now);
        now += 10ms;
        queue.on_completion(services[1], now, 10ms);
        queue.take(services[1], now);
    }
}

} // namespace

RC_GTEST_PROP(admission, every_request_leaves_once_in_order, ())
{
    queue_run run;
    const auto events = test::draw_events(400);
    for (std::uint32_t event : events)
        run.step(event);
    run.finish();
}

TEST(admission, what_cannot_make_its_deadline_is_refused_at_once)
{
    admission_queue queue = new_queue();
    time_point now = start;
    measure(queue, now);
    queue.on_start(services[1]);
    ASSERT_TRUE(waits(queue.offer(request(1, 1, now + 100ms), now)));
    ASSERT_TRUE(waits(queue.offer(request(2, 1, now + 100ms), now)));
    const auto late = queue.offer(request(3, 1, now + 5ms), now);
    ASSERT_FALSE(waits(late));
    const auto& refused = std::get<refused_request>(late.verdict);
    EXPECT_EQ(refused.reason, refusal_reason::too_late);
    EXPECT_GE(refused.retry_after, 10ms);
}

TEST(admission, full_queue_refuses_at_once)
{
    admission_queue queue = new_queue();
    for (std::uint64_t id = 0; id < queue_limit; ++id)
        ASSERT_TRUE(waits(queue.offer(request(id, 1, start + 1s), start)));
    const auto result = queue.offer(request(99, 1, start + 1s), start);
    EXPECT_EQ(std::get<refused_request>(result.verdict).reason,
              refusal_reason::queue_full);
}

TEST(admission, booking_displaces_a_download_when_all_places_are_taken)
{
    admission_queue queue = new_queue();
    for (std::uint64_t id = 0; id < total_limit; ++id)
        ASSERT_TRUE(
            waits(queue.offer(request(id, id < 6 ? 1 : 2, start + 1s), start)));
    EXPECT_FALSE(waits(queue.offer(request(50, 2, start + 1s), start)));
    const auto result = queue.offer(request(51, 0, start + 1s), start);
    EXPECT_TRUE(waits(result));
    ASSERT_EQ(result.displaced.size(), 1u);
    EXPECT_EQ(result.displaced[0].request.service, services[2]);
    EXPECT_EQ(queue.take(services, start)->id, 51u);
}

TEST(admission, expired_request_gets_its_answer_at_its_deadline)
{
    admission_queue queue = new_queue();
    queue.offer(request(1, 1, start + 30ms), start);
    EXPECT_EQ(queue.next_expiry(), start + 30ms);
    EXPECT_TRUE(queue.expire(start + 29ms).empty());
    EXPECT_EQ(queue.expire(start + 30ms).size(), 1u);
    EXPECT_FALSE(queue.take(services, start + 30ms));
}

TEST(admission, slow_arrivals_are_not_taken_for_a_slow_service)
{
    admission_queue queue = new_queue();
    time_point now = start;
    for (int i = 0; i < 20; ++i) {
        queue.on_start(services[1]);
        queue.on_completion(services[1], now, 10ms);
        now += 1s;
    }
    queue.on_start(services[1]);
    EXPECT_TRUE(waits(queue.offer(request(1, 1, now + 100ms), now)));
}
