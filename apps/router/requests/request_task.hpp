#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_TASK_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_TASK_HPP

#include "requests/request_context.hpp"
#include "vanillapost/attempts.hpp"
#include "vanillapost/src/io/caller_server.hpp"

#include <set>
#include <tuple>
#include <vector>

namespace vanillapost::router {

/// One request of a caller, from its arrival to its answer.
class request_task : public io::disposable
{
public:
    request_task(std::uint64_t number, request_context& context,
                 std::unique_ptr<io::caller_exchange> exchange,
                 incoming_request request, service_id service);
    ~request_task() override;

    void start();

    /// A probe that it waits for has ended.
    void on_measured(const target_id& target);

    /// Tries again to place it, if it waits for a slot.
    void on_slot_freed();

    std::uint64_t number() const
    {
        return number_;
    }

    const service_id& service() const
    {
        return service_;
    }

    /// How a booking with a key ended; once the task has ended.
    const claimed_end& end() const
    {
        return end_;
    }

    bool waits_for_slot() const
    {
        return state_ == stage::waiting;
    }

    /// Order in which waiting requests get slots.
    std::tuple<bool, int, time_point> rank() const;

private:
    enum class stage
    {
        measuring, ///< probes are out for its next attempt
        waiting,   ///< for a slot
        running,   ///< attempts are out, none is to be started
        ended
    };

    struct attempt
    {
        target_id target;
        std::int64_t born = 0; ///< of the target's start
        std::unique_ptr<io::target_call> call;
        time_point sent_at{};
        duration expected{};        ///< with the target's load and pace
        double slowness = 1;        ///< of the target when it was sent
        double load = 0;            ///< of the target when it was sent
        duration report_age{};      ///< of what was known of the target then
        std::uint64_t revision = 0; ///< of the targets by which it was placed
        attempt_progress progress{duration(1), 1, time_point{}};
        io::target_answer_head head;
        std::string body;
        bool streaming = false;
    };

    /// Runs a step; when it fails, the request gets its final answer.
    template <class Step>
    void guard(std::string_view name, const Step& step);
    void answer_failure();
    void take_measurement(const target_id& target);
    void set_deadlines(std::optional<duration> time_left);
    placement_effort effort(time_point now) const;
    void follow(const placement_decision& decision);
    void place();
    void watch();
    void consider_hedge();
    void hedge();
    duration watch_interval() const;
    placement_request describe() const;
    void measure(const std::vector<target_id>& targets);
    void wait_for_slot(const return_estimate& room);
    void send(const place_on& place, bool hedge);
    bool may_still_go(const target_id& target) const;
    io::target_call_handlers make_handlers(attempt& made);
    void take_head(attempt& from, io::target_answer_head&& head);
    void take_data(attempt& from, std::string_view data);
    void take_long_answer(attempt& from, const attempt_outcome& outcome);
    void begin_streaming(attempt& from);
    void resume_streams();
    void take_end(attempt& from);
    void note_bad_answer(const attempt& from, io::answer_fault fault,
                         std::string_view reason);
    void take_failure(attempt& from, const io::target_failure& failure);
    void note_ended(const attempt& ended, const attempt_outcome& outcome);
    void note_report(const attempt& from);
    void proceed(attempt& ended, const attempt_outcome& outcome);
    void follow(const attempt_step& step, std::unique_ptr<attempt> ended,
                const attempt_outcome& outcome);
    void repeat();
    void deliver(attempt& from);
    void abandon_attempts();
    /// \param failure_status  when it may have run
    /// \param refusal_status  when it has not
    void give_up(int failure_status, std::string_view reason,
                 const return_estimate& back = {},
                 int refusal_status = status_unavailable);
    void refuse(int status, std::string_view reason,
                const return_estimate& back);
    void note_answer(const attempt& from, const io::header_list& headers);
    void fail(int status, std::string_view reason);
    void finish(request_result result, int status, std::string_view reason);
    void on_gone();
    void on_timer();
    void arm_timer();
    std::unique_ptr<attempt> take_attempt(attempt& ended);
    void note_history(const attempt& ended, std::string_view outcome);
    duration waiting_limit() const;

    std::uint64_t number_;
    request_context& context_;
    std::unique_ptr<io::caller_exchange> exchange_;
    io::http_request request_;
    std::string id_;
    route rule_;
    bool claimed_; ///< a claim needs to know how it ended
    service_id service_;
    attempt_ledger ledger_;
    stage state_ = stage::measuring;
    time_point arrived_{};
    time_point deadline_{};
    time_point objective_{}; ///< when an answer is still in time
    time_point measure_until_{};
    time_point retry_place_at_ = time_point::max();
    time_point resume_at_ = time_point::max(); ///< of a stream that is paused
    time_point watch_at_ = time_point::max();  ///< next look at the attempt
    int checks_ = 0;
    int probe_rounds_ = 0;
    bool hedging_ = false; ///< what is being placed is a hedge
    std::set<target_id> measured_;
    std::vector<std::unique_ptr<attempt>> attempts_;
    /// A failure that a target answered, to pass on if nothing better comes.
    std::unique_ptr<attempt> fallback_;
    std::vector<target_id> tried_;
    std::string history_; ///< targets and how the attempts there ended
    claimed_end end_;
    io::timer timer_;
};

template <class Step>
void request_task::guard(std::string_view name, const Step& step)
{
    if (!context_.loop.guard(name, id_, step))
        answer_failure();
}

} // namespace vanillapost::router

#endif
