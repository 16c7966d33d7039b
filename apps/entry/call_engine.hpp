#ifndef VANILLAPOST_APPS_ENTRY_CALL_ENGINE_HPP
#define VANILLAPOST_APPS_ENTRY_CALL_ENGINE_HPP

#include "call.hpp"
#include "dispatcher.hpp"
#include "entry_metrics.hpp"
#include "peer_controller.hpp"
#include "probe_controller.hpp"
#include "target_controller.hpp"

#include "vanillapost/admission.hpp"
#include "vanillapost/idempotency.hpp"
#include "vanillapost/io.hpp"
#include "vanillapost/records.hpp"
#include "vanillapost/retry.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace vanillapost::entry {

/// The parts of the entry that calls go through.
struct call_engine_parts
{
    io::event_loop& loop;
    const entry_settings& settings;
    io::platform_client& platform;
    const record_set& records;
    const liveness& members;
    const entry_incarnation& self;
    target_controller& targets;
    peer_controller& peers;
    probe_controller& probes;
    entry_metrics& metrics;
    random_engine& random;
};

/// Takes calls from their arrival to their whole answer: filters, claim,
/// admission, dispatch, retries, hedges and the answer.
class call_engine
{
public:
    explicit call_engine(const call_engine_parts& parts);

    /// Takes a request under /v1/call/.
    void accept(std::unique_ptr<io::server_exchange> exchange);

    /// Takes over records that have changed.
    void on_records();

    /// Slots may have become free: dispatches what waits.
    void pump();

    std::size_t in_flight() const
    {
        return calls_.size();
    }

    std::size_t waiting() const
    {
        return queue_.waiting();
    }

    std::size_t waiting(const service_id& service) const
    {
        return queue_.waiting(service);
    }

private:
    /// What is learnt of a service as it is called.
    struct service_state
    {
        hedge_policy hedging;
        retry_budget budget;
    };

    void start(call& request);
    void start_claim(call& request);
    bool dispatch(call& request, std::string_view kind);
    bool own(const call& request) const;
    void cancel(call& request, std::uint64_t number);
    std::optional<waiting_request>
    take_next(const std::set<service_id>& without_place);
    void place_or_queue(call& request);
    void enqueue(call& request);
    void arm_hedge(call& request);
    void on_hedge(std::uint64_t number);
    void schedule_retry(call& request, time_point at);
    void on_retry(std::uint64_t number);

    void on_headers(std::uint64_t number, std::uint64_t attempt_number,
                    int status, std::span<const io::header_field> headers);
    void on_data(std::uint64_t number, std::uint64_t attempt_number,
                 std::string_view data);
    void on_done(std::uint64_t number, std::uint64_t attempt_number);
    void on_failure(std::uint64_t number, std::uint64_t attempt_number,
                    const io::call_failure& failure);

    void choose_winner(call& request, attempt& from);
    void on_whole_answer(call& request, const attempt& from);
    void on_not_placed(call& request, const attempt& from);
    void on_failed_attempt(call& request, const attempt& from,
                           const attempt_failure& failure, int status,
                           std::string_view detail);
    void give_final_answer(call& request, const give_up& decision, int status,
                           std::string_view detail);
    void break_off(call& request);
    void on_caller_gone(std::uint64_t number);

    void refuse(call& request, const problem& why);
    void refuse_queued(const refused_request& refused);
    void take_free_slots(const call& request, const attempt& from);
    void add_free_slots(const call& request, attempt& from);
    void store_outcome(call& request, const attempt& from);
    void count(const call& request, request_result result);
    void finish(call& request);
    void remove_if_over(call& request);
    void expire_queued();
    void arm_expiry();
    attempt end_attempt(call& request, std::uint64_t number,
                        const target_answer& how);
    service_state& state_of(const service_id& service);
    call* find(std::uint64_t number);
    attempt* find(call& request, std::uint64_t number);

    call_engine_parts parts_;
    dispatcher dispatcher_;
    admission_queue queue_;
    std::map<service_id, service_state> services_;
    std::unordered_map<std::uint64_t, std::unique_ptr<call>> calls_;
    /// Calls that are over while one of their handlers runs.
    std::vector<std::unique_ptr<call>> ended_;
    std::uint64_t last_call_ = 0;
    std::string claim_prefix_;
    bool pumping_ = false;
    io::timer expiry_timer_;
};

} // namespace vanillapost::entry

#endif
