#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_CLAIM_DRIVER_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_CLAIM_DRIVER_HPP

#include "vanillapost/idempotency.hpp"
#include "vanillapost/io.hpp"

#include <functional>
#include <memory>

namespace vanillapost::router {

/// Callbacks with which a claim controls its request.
struct claim_handlers
{
    std::function<void()> dispatch;
    std::function<void(const stored_outcome&)> answer;
    std::function<void(const refuse_request&)> refuse;
    std::function<void()> finished;
};

/// Performs the actions of one \ref idempotency_claim: sends its transactions
/// to the platform, runs its timer and calls the handlers of its request.
class claim_driver
{
public:
    claim_driver(io::event_loop& loop, io::platform_client& platform,
                 claim_request request, ended_predicate ended,
                 claim_handlers handlers);
    ~claim_driver();

    void start();
    void on_outcome(const stored_outcome& outcome);
    void on_failure(run_state ran);
    void on_cancelled();
    void limit_answer(time_point latest);

private:
    void run(const claim_actions& actions);
    void perform(const submit_claim& action);
    void perform(const set_claim_timer& action);
    void perform(const dispatch_claimed& action);
    void perform(const answer_stored& action);
    void perform(const refuse_request& action);

    io::event_loop& loop_;
    io::platform_client& platform_;
    idempotency_claim claim_;
    claim_handlers handlers_;
    io::timer timer_;
    std::shared_ptr<bool> alive_; ///< false once destroyed; held by callbacks
    bool finished_reported_ = false;
};

} // namespace vanillapost::router

#endif
