#include "vanillapost/idempotency.hpp"
#include "events.hpp"
#include "vanillapost/base.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

using namespace vanillapost;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{10s};
constexpr std::int64_t unix_start = 1'800'000'000'000;
const service_id booking{"booking"};

/// Simulates the table: applies one write at a time and answers a repeated
/// write id with the result of the first write.
class fake_table
{
public:
    transaction_result transact(const table_transaction& transaction)
    {
        const auto known = done_.find(transaction.write_id);
        if (known != done_.end())
            return transaction_done{known->second};
        const table_operation& put = transaction.operations.at(0);
        table_row& row = rows_[put.key];
        if (row.at != put.expected)
            return transaction_conflict{{row}};
        row = {put.key, ++latest_, transaction.write_id, put.value};
        done_[transaction.write_id] = latest_;
        return transaction_done{latest_};
    }

private:
    std::map<std::string, table_row> rows_;
    std::map<std::string, revision> done_;
    revision latest_ = 0;
};

/// State of one caller's request at one instance.
struct call
{
    std::size_t entry;
    std::string incarnation;
    bool repeat;
    std::unique_ptr<idempotency_claim> claim;
    std::deque<table_transaction> writes; ///< that have not reached the table
    std::set<time_point> timers;
    int dispatches = 0;
    bool dispatched = false; ///< dispatched, with an outcome not yet known
    bool ran = false;
    std::optional<run_state> refused;
    std::optional<int> stored_status;
    bool dead = false;
};

constexpr int outcome_status = 201;

/// Simulates three instances, a table, and a caller that repeats its request.
class booking_run
{
public:
    void step(std::uint32_t event)
    {
        now_ += duration(1ms) * ((event >> 8) & 127);
        const std::uint32_t kind = event % 16;
        if (kind == 0 && calls_.size() < 8)
            start_call(event >> 16, 1s);
        else if (kind == 1 && (event >> 24) < 64)
            terminate((event >> 16) % entry_count);
        else if (kind < 9)
            deliver_write(event);
        else if (kind < 12)
            fire_timers(event);
        else
            end_dispatch(event);
    }

    call& start_call(std::uint32_t at, duration time_left)
    {
        const std::size_t entry = at % entry_count;
        call& added = calls_.emplace_back();
        added.entry = entry;
        added.incarnation = incarnation(entry);
        added.repeat = calls_.size() > 1;
        added.claim = std::make_unique<idempotency_claim>(
            claim_request{.service = booking,
                          .key = "k1",
                          .digest = digest_request("POST", "/book", "{}"),
                          .self = {name(entry), added.incarnation},
                          .write_id = "w" + std::to_string(calls_.size()),
                          .deadline = now_ + time_left,
                          .repeat = added.repeat},
            claim_settings{}, [this](const entry_incarnation& who) {
                return ended_.contains(who);
            });
        apply(added, added.claim->start(now_, unix_start));
        return added;
    }

    /// Terminates the process of an instance. Others learn of it only when they
    /// consult the list of ended processes, which may be much later.
    void terminate(std::size_t entry)
    {
        for (call& one : calls_) {
            if (one.entry == entry && one.incarnation == incarnation(entry))
                one.dead = true;
        }
        ended_.insert({name(entry), incarnation(entry)});
        ++incarnations_[entry];
    }

    /// Delivers all messages and fires all timers.
    void drain()
    {
        for (int round = 0; round < 40; ++round) {
            now_ += 3s;
            for (call& one : calls_) {
                if (one.dispatched && !one.dead)
                    apply(one, one.claim->on_failure(run_state::maybe, now_));
                one.dispatched = false;
                fire_timers(one);
                while (!one.dead && !one.writes.empty())
                    process_write(one, true, true);
            }
        }
    }

    int runs() const
    {
        return runs_;
    }

    std::deque<call>& calls()
    {
        return calls_;
    }

private:
    static constexpr std::size_t entry_count = 3;

    static entry_id name(std::size_t entry)
    {
        return {"e" + std::to_string(entry)};
    }

    std::string incarnation(std::size_t entry) const
    {
        return std::to_string(incarnations_[entry]);
    }

    void apply(call& one, const claim_actions& actions)
    {
        for (const claim_action& action : actions) {
            if (const auto* write = std::get_if<submit_claim>(&action))
                one.writes.push_back(write->transaction);
            if (const auto* wake = std::get_if<set_claim_timer>(&action))
                one.timers.insert(wake->at);
            if (const auto* refusal = std::get_if<refuse_request>(&action))
                refuse(one, refusal->ran);
            if (const auto* stored = std::get_if<answer_stored>(&action))
                one.stored_status = stored->outcome.status;
            if (std::holds_alternative<dispatch_claimed>(action))
                dispatch(one);
        }
    }

    void refuse(call& one, run_state ran)
    {
        RC_ASSERT(!one.refused && !one.stored_status && one.dispatches == 0);
        one.refused = ran;
        if (ran == run_state::no)
            RC_ASSERT(!one.repeat || runs_ == 0);
    }

    void dispatch(call& one)
    {
        ++one.dispatches;
        one.dispatched = true;
        RC_ASSERT(one.dispatches == 1 && !one.refused);
    }

    call* pick(std::uint32_t event)
    {
        if (calls_.empty())
            return nullptr;
        call& one = calls_[(event >> 16) % calls_.size()];
        return one.dead ? nullptr : &one;
    }

    /// The write and its answer may each be lost.
    void deliver_write(std::uint32_t event)
    {
        call* one = pick(event);
        if (one && !one->writes.empty())
            process_write(*one, (event >> 20) & 3, (event >> 22) & 3);
        // Delayed copies of earlier writes arrive.
        if (!lost_.empty() && ((event >> 24) & 7) == 0) {
            table_.transact(lost_.front());
            lost_.pop_front();
        }
    }

    void process_write(call& one, bool arrives, bool answered)
    {
        const table_transaction write = one.writes.front();
        one.writes.pop_front();
        transaction_result result = platform_unavailable{true, "lost"};
        if (arrives) {
            auto answer = table_.transact(write);
            if (answered)
                result = std::move(answer);
        } else if (answered) {
            result = platform_unavailable{false, "503"};
        } else {
            lost_.push_back(write);
        }
        apply(one, one.claim->on_transaction(result, now_));
    }

    void fire_timers(std::uint32_t event)
    {
        if (call* one = pick(event))
            fire_timers(*one);
    }

    void fire_timers(call& one)
    {
        while (!one.dead && !one.timers.empty() &&
               *one.timers.begin() <= now_) {
            one.timers.erase(one.timers.begin());
            apply(one, one.claim->on_timer(now_));
        }
    }

    /// The target may run the request or not, and its answer may be lost.
    void end_dispatch(std::uint32_t event)
    {
        call* one = pick(event);
        if (!one || !one->dispatched)
            return;
        one->dispatched = false;
        one->ran = (event >> 20) & 1;
        runs_ += one->ran;
        RC_ASSERT(runs_ <= 1);
        const bool known = (event >> 21) & 1;
        if (!known)
            apply(*one, one->claim->on_failure(run_state::maybe, now_));
        else if (one->ran)
            apply(*one, one->claim->on_outcome(
                            {.status = outcome_status, .body = "ok"}, now_));
        else
            apply(*one, one->claim->on_failure(run_state::no, now_));
    }

    fake_table table_;
    std::deque<call> calls_;
    std::deque<table_transaction> lost_;
    std::set<entry_incarnation> ended_;
    int incarnations_[entry_count] = {};
    int runs_ = 0;
    time_point now_ = start;
};

/// One claim, with the results of its transactions given by the test.
struct single_claim
{
    explicit single_claim(bool repeat = false)
        : claim({.service = booking,
                 .key = "k1",
                 .digest = "d1",
                 .self = {{"e1"}, "1"},
                 .write_id = "w",
                 .deadline = start + 1s,
                 .repeat = repeat},
                {}, [](const entry_incarnation&) { return false; })
    {
        actions = claim.start(start, unix_start);
    }

    template <class Action>
    const Action* find() const
    {
        for (const claim_action& action : actions) {
            if (const auto* found = std::get_if<Action>(&action))
                return found;
        }
        return nullptr;
    }

    void conflict(claim_row row)
    {
        actions = claim.on_transaction(
            transaction_conflict{
                {{claim.table_key(), 7, "other", to_text(row)}}},
            start);
    }

    idempotency_claim claim;
    claim_actions actions;
};

claim_row other_claim(claim_state state)
{
    return {.key = "k1",
            .request_digest = "d1",
            .claimant = {{"e2"}, "1"},
            .state = state,
            .outcome = {.status = outcome_status},
            .expires_unix_ms = unix_start + 1000};
}

} // namespace

RC_GTEST_PROP(idempotency, one_key_runs_at_most_once, ())
{
    booking_run run;
    const auto events = test::draw_events(600);
    for (std::uint32_t event : events)
        run.step(event);
    run.drain();
    for (const call& one : run.calls()) {
        if (!one.dead)
            RC_ASSERT(one.claim->finished());
    }
    // Once all messages are delivered, a last repetition gets an answer that
    // agrees with what really happened.
    call& last = run.start_call(0, 1h);
    run.drain();
    if (run.runs() > 0)
        RC_ASSERT(last.dispatches == 0 && last.refused != run_state::no);
}

TEST(idempotency, lost_answer_is_settled_with_the_same_write_id)
{
    single_claim one;
    const auto first = one.find<submit_claim>()->transaction.write_id;
    one.actions =
        one.claim.on_transaction(platform_unavailable{true, ""}, start);
    EXPECT_FALSE(one.find<refuse_request>());
    ASSERT_TRUE(one.find<set_claim_timer>());
    const time_point at = one.find<set_claim_timer>()->at;
    one.actions = one.claim.on_timer(at);
    EXPECT_EQ(one.find<submit_claim>()->transaction.write_id, first);
    one.actions = one.claim.on_transaction(transaction_done{3}, at);
    EXPECT_TRUE(one.find<dispatch_claimed>());
}

TEST(idempotency, refused_claim_is_settled_and_released_later)
{
    single_claim one;
    one.actions =
        one.claim.on_transaction(platform_unavailable{true, ""}, start);
    one.claim.on_timer(start + 50ms);
    one.actions =
        one.claim.on_transaction(platform_unavailable{false, ""}, start + 60ms);
    ASSERT_TRUE(one.find<refuse_request>());
    EXPECT_EQ(one.find<refuse_request>()->ran, run_state::no);
    ASSERT_FALSE(one.claim.finished());
    one.actions = one.claim.on_timer(one.find<set_claim_timer>()->at);
    ASSERT_TRUE(one.find<submit_claim>());
    one.actions = one.claim.on_transaction(transaction_done{3}, start + 1s);
    const auto& put = one.find<submit_claim>()->transaction.operations[0];
    EXPECT_EQ(parse_claim(put.value, "test").state, claim_state::released);
    one.claim.on_transaction(transaction_done{4}, start + 1s);
    EXPECT_TRUE(one.claim.finished());
}

// The platform loses an answer, then gives none: the caller was left without
// one, as the timer of the resubmission replaced that of its answer.
TEST(idempotency, the_answer_is_not_late_when_the_table_falls_silent)
{
    single_claim one;
    auto timer = one.find<set_claim_timer>()->at;
    one.actions =
        one.claim.on_transaction(platform_unavailable{true, ""}, start + 10ms);
    timer = one.find<set_claim_timer>()->at;
    one.actions = one.claim.on_timer(timer);
    EXPECT_TRUE(one.find<submit_claim>());
    ASSERT_TRUE(one.find<set_claim_timer>());
    timer = one.find<set_claim_timer>()->at;
    EXPECT_EQ(timer, start + claim_settings{}.claim_timeout);
    one.actions = one.claim.on_timer(timer);
    ASSERT_TRUE(one.find<refuse_request>());
    EXPECT_EQ(one.find<refuse_request>()->ran, run_state::no);
}

// A booking that waits for its claim saw the end of its connection when the
// process ended before the claim was decided.
TEST(idempotency, a_caller_is_answered_before_the_process_ends)
{
    single_claim one;
    const auto latest = start + 100ms;
    one.actions = one.claim.limit_answer(latest);
    ASSERT_TRUE(one.find<set_claim_timer>());
    EXPECT_EQ(one.find<set_claim_timer>()->at, latest);
    one.actions = one.claim.on_timer(latest);
    ASSERT_TRUE(one.find<refuse_request>());
    EXPECT_EQ(one.find<refuse_request>()->ran, run_state::no);
    one.actions = one.claim.on_transaction(transaction_done{3}, start + 200ms);
    EXPECT_FALSE(one.find<dispatch_claimed>());
}

TEST(idempotency, a_later_end_of_the_process_changes_nothing)
{
    single_claim one;
    EXPECT_TRUE(one.claim.limit_answer(start + 1h).empty());
}

TEST(idempotency, outage_refuses_at_once_and_truthfully)
{
    for (bool repeat : {false, true}) {
        single_claim one(repeat);
        one.actions =
            one.claim.on_transaction(platform_unavailable{false, ""}, start);
        ASSERT_TRUE(one.find<refuse_request>());
        EXPECT_EQ(one.find<refuse_request>()->ran,
                  repeat ? run_state::maybe : run_state::no);
        EXPECT_GT(one.find<refuse_request>()->retry_after, 0ms);
        EXPECT_TRUE(one.claim.finished());
    }
}

TEST(idempotency, late_claim_is_released)
{
    single_claim one;
    one.actions = one.claim.on_timer(start + 500ms);
    EXPECT_EQ(one.find<refuse_request>()->ran, run_state::no);
    one.actions = one.claim.on_transaction(transaction_done{3}, start + 600ms);
    EXPECT_FALSE(one.find<dispatch_claimed>());
    ASSERT_TRUE(one.find<submit_claim>());
    const auto& put = one.find<submit_claim>()->transaction.operations[0];
    EXPECT_EQ(put.expected, 3u);
    EXPECT_EQ(parse_claim(put.value, "test").state, claim_state::released);
}

TEST(idempotency, earlier_claim_determines_the_answer)
{
    single_claim done;
    done.conflict(other_claim(claim_state::done));
    EXPECT_EQ(done.find<answer_stored>()->outcome.status, outcome_status);
    single_claim running;
    running.conflict(other_claim(claim_state::claimed));
    EXPECT_EQ(running.find<refuse_request>()->ran, run_state::maybe);
    EXPECT_GT(running.find<refuse_request>()->retry_after, 0ms);
    single_claim released;
    released.conflict(other_claim(claim_state::released));
    EXPECT_EQ(released.find<submit_claim>()->transaction.operations[0].expected,
              7u);
    single_claim reused;
    claim_row different = other_claim(claim_state::done);
    different.request_digest = "d2";
    reused.conflict(different);
    EXPECT_EQ(reused.find<refuse_request>()->status, 409);
    EXPECT_EQ(reused.find<refuse_request>()->ran, run_state::no);
}

TEST(idempotency, unreadable_claim_is_refused)
{
    single_claim one;
    one.actions = one.claim.on_transaction(
        transaction_conflict{{{one.claim.table_key(), 7, "other", "[["}}},
        start);
    EXPECT_EQ(one.find<refuse_request>()->ran, run_state::maybe);
}

RC_GTEST_PROP(idempotency, claim_survives_its_encoding,
              (const std::string& body))
{
    claim_row row = other_claim(claim_state::done);
    row.outcome.body = body;
    row.outcome.headers = {{"Content-Type", "text/plain"}};
    RC_ASSERT(parse_claim(to_text(row), "test") == row);
}

// A stored answer is sent to callers unchanged, so that the row must not be
// able to inject headers.
TEST(idempotency, a_claim_cannot_add_headers_to_an_answer)
{
    const std::vector<std::pair<std::string, std::string>> bad = {
        {"X", "a\r\nSet-Cookie: b"},
        {"X: y\r\nZ", "a"},
        {"X:", "a"},
        {"", "a"},
        {"X Y", "a"},
        {"X", "a\nb"}};
    for (const auto& field : bad) {
        claim_row row = other_claim(claim_state::done);
        row.outcome.headers = {field};
        EXPECT_THROW(parse_claim(to_text(row), "test"), vanillapost::error)
            << field.first << ": " << field.second;
    }
    for (const int status : {0, 100, 199, 600}) {
        claim_row row = other_claim(claim_state::done);
        row.outcome.status = status;
        EXPECT_THROW(parse_claim(to_text(row), "test"), vanillapost::error)
            << status;
    }
}

RC_GTEST_PROP(idempotency, any_text_is_parsed_or_rejected, (std::string text))
{
    try {
        parse_claim(text, "test");
    } catch (const vanillapost::error&) {
    }
}
