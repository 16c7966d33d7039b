#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_TASK_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_REQUEST_TASK_HPP

#include "requests/request_context.hpp"
#include "vanillapost/attempts.hpp"
#include "vanillapost/src/io/caller_server.hpp"

#include <set>
#include <tuple>
#include <vector>

namespace vanillapost::router {

/// Processes one request of a caller, from its arrival to its answer: places
/// it on a target, and repeats or hedges the attempt if need be.
class request_task : public io::disposable
{
public:
    request_task(std::uint64_t number, request_context& context,
                 std::unique_ptr<io::caller_exchange> exchange,
                 incoming_request request, service_id service);
    ~request_task() override;

    void start();

    /// Brings the final answer forward to `latest`, if it is due later.
    void limit_deadline(time_point latest);

    /// To be called when a probe that the task has requested has ended.
    void on_probe_done(const target_id& target);

    /// Tries to place the request again if it waits for a slot.
    void on_slot_freed();

    std::uint64_t number() const
    {
        return number_;
    }

    const service_id& service() const
    {
        return service_;
    }

    /// The result of a claimed request; valid once the task has ended.
    const claimed_result& result() const
    {
        return claimed_result_;
    }

    bool waits_for_slot() const
    {
        return state_ == stage::waiting;
    }

    /// Sort key of waiting requests: the lowest gets the next free slot.
    std::tuple<bool, int, int, time_point> rank() const;

private:
    enum class stage
    {
        probing, ///< waits for probes before the next attempt
        waiting, ///< waits for a free slot
        queued,  ///< waits until one like it, under suspicion, has ended
        running, ///< attempts are in flight, none is being placed
        ended
    };

    struct attempt
    {
        target_id target;
        std::int64_t start_unix_ms = 0; ///< of the target process
        std::string version;            ///< of the target's software
        std::unique_ptr<io::target_call> call;
        time_point sent_at{};
        duration expected{};             ///< by the target's load and speed
        double unexplained_slowdown = 1; ///< of the target when it was sent
        double load = 0;                 ///< of the target when it was sent
        duration report_age{};      ///< of its load report when it was sent
        std::uint64_t revision = 0; ///< of the target list used for placement
        std::optional<leaving_cause> left_because; ///< the data centre
        attempt_progress progress{duration(1), 1, time_point{}};
        io::target_answer_head head;
        std::string body;
        std::size_t received = 0; ///< bytes of the body, streamed ones too
        bool streaming = false;
        bool is_relay = false; ///< to a peer, which sends it to a target
    };

    /// Runs a step; if it throws, the request is answered with an error.
    template <class Step>
    void guard(std::string_view name, const Step& step);
    void answer_internal_error();
    void process_probe_result(const target_id& target);
    void set_deadlines(std::optional<duration> time_left);
    placement_options make_placement_options(time_point now) const;
    void follow(const placement_decision& decision);
    void place();
    placement_decision choose_target(time_point now);
    void choose_side(service_rollout& rollout, time_point now);
    void record_for_rollout(const attempt& ended, bool good, duration taken);
    void check_running_attempt();
    void consider_hedge();
    void hedge();
    duration check_delay() const;
    placement_request make_placement_request() const;
    void probe_targets(const std::vector<target_id>& targets);
    bool may_take_turn();
    void wait_for_turn();
    void wait_for_slot(const retry_after_estimate& estimate);
    void send(const place_on& place, bool hedge);
    bool relay();
    std::optional<member> choose_relay() const;
    void send_to_peer(const member& peer);
    attempt_outcome classify(const attempt& from) const;
    bool is_target_still_usable(const target_id& target) const;
    io::target_call_handlers make_handlers(attempt& created);
    void process_head(attempt& from, io::target_answer_head&& head);
    void process_data(attempt& from, std::string_view data);
    void process_long_answer(attempt& from, const attempt_outcome& outcome);
    void begin_streaming(attempt& from);
    void resume_streams();
    void process_end(attempt& from);
    void suspect_crash(const attempt& from);
    bool is_waiting() const
    {
        return state_ == stage::waiting || state_ == stage::queued;
    }
    bool is_held() const;
    bool is_suspected() const;
    void give_up_held();
    void report_bad_answer(const attempt& from, io::answer_fault fault,
                           std::string_view reason);
    void process_failure(attempt& from, const io::target_failure& failure);
    void record_outcome(const attempt& ended, const attempt_outcome& outcome);
    void record_load_report(const attempt& from);
    void finish_attempt(attempt& ended, const attempt_outcome& outcome);
    void follow(const attempt_step& step, std::unique_ptr<attempt> ended,
                const attempt_outcome& outcome);
    void repeat();
    void deliver(attempt& from);
    void abandon_attempts(bool caller_left = false);
    /// Ends the request: breaks off an answer that has begun, or delivers the
    /// fallback if there is one, or refuses or fails the request.
    /// \param failure_status  status if the request may have run
    /// \param refusal_status  status if it has not run
    void give_up(int failure_status, std::string_view reason,
                 const retry_after_estimate& estimate = {},
                 int refusal_status = status_unavailable);
    void refuse(int status, std::string_view reason,
                const retry_after_estimate& estimate);
    void store_claimed_answer(const attempt& from,
                              const io::header_list& headers);
    void fail(int status, std::string_view reason);
    void finish(request_result result, int status, std::string_view reason);
    void on_gone();
    void on_timer();
    void arm_timer();
    std::unique_ptr<attempt> remove_attempt(attempt& ended);
    void append_history(const attempt& ended, std::string_view outcome);
    void count_left(const attempt& ended);
    void log_leaving_changes();
    duration waiting_limit() const;

    std::uint64_t number_;
    request_context& context_;
    std::unique_ptr<io::caller_exchange> exchange_;
    io::http_request request_;
    std::string id_;
    route rule_;
    std::optional<organisation_id> organisation_;
    std::string authorization_;
    int organisation_priority_;
    bool is_trial_;         ///< sent although requests like it are held back
    bool has_turn_ = false; ///< of the suspected requests like it
    bool is_relayed_;       ///< a peer sent it, so it is not relayed again
    bool relayed_ = false;  ///< a peer may have run it
    bool claimed_;          ///< under a claim, which needs the result
    service_id service_;
    attempt_tracker tracker_;
    stage state_ = stage::probing;
    time_point arrived_{};
    time_point placeable_since_{}; ///< its arrival, or when its turn came
    time_point deadline_{};
    time_point objective_{}; ///< latest time for an answer to be in time
    time_point probe_deadline_{};
    time_point retry_placement_at_ = time_point::max();
    time_point resume_at_ = time_point::max();     ///< for paused streams
    time_point next_check_at_ = time_point::max(); ///< of the running attempt
    int checks_ = 0;
    int probe_rounds_ = 0;
    bool hedging_ = false; ///< the attempt being placed is a hedge
    std::set<target_id> pending_probes_;
    /// Its connection broke, and a probe is to show whether it has ended.
    std::optional<target_id> unchecked_target_;
    std::vector<std::unique_ptr<attempt>> attempts_;
    /// A target's error answer, delivered if no later attempt does better.
    std::unique_ptr<attempt> fallback_;
    std::vector<target_id> tried_;
    /// The side of its service's roll-out that it was picked for, under the
    /// order with this revision.
    version_side side_ = version_side::current;
    std::uint64_t picked_under_ = 0;            ///< 0: it was not picked yet
    std::optional<version_constraint> version_; ///< of the next attempt
    std::string history_; ///< for the log: targets and outcomes of attempts
    claimed_result claimed_result_;
    io::timer timer_;
};

template <class Step>
void request_task::guard(std::string_view name, const Step& step)
{
    if (!context_.loop.guard(name, id_, step))
        answer_internal_error();
}

} // namespace vanillapost::router

#endif
