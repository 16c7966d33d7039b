#include "requests/claim_driver.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost::router {

claim_driver::claim_driver(io::event_loop& loop, io::platform_client& platform,
                           claim_request request, ended_predicate ended,
                           claim_handlers handlers)
    : loop_(loop), platform_(platform),
      claim_(std::move(request), claim_settings{}, std::move(ended)),
      handlers_(std::move(handlers)),
      timer_(loop, [this] { run(claim_.on_timer(loop_.now())); }),
      alive_(std::make_shared<bool>(true))
{
}

claim_driver::~claim_driver()
{
    *alive_ = false;
}

void claim_driver::start()
{
    run(claim_.start(loop_.now(), loop_.unix_ms()));
}

void claim_driver::on_outcome(const stored_outcome& outcome)
{
    run(claim_.on_outcome(outcome, loop_.now()));
}

void claim_driver::on_failure(run_state ran)
{
    run(claim_.on_failure(ran, loop_.now()));
}

void claim_driver::limit_answer(time_point latest)
{
    run(claim_.limit_answer(latest));
}

void claim_driver::on_cancelled()
{
    run(claim_.on_cancelled(loop_.now()));
}

void claim_driver::run(const claim_actions& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& each) { perform(each); }, action);
    if (claim_.finished() && !std::exchange(finished_reported_, true))
        handlers_.finished();
}

void claim_driver::perform(const submit_claim& action)
{
    platform_.transact(action.transaction,
                       [this, alive = alive_](const auto& result) {
                           if (*alive)
                               run(claim_.on_transaction(result, loop_.now()));
                       });
}

void claim_driver::perform(const set_claim_timer& action)
{
    timer_.start_once(std::max(action.at - loop_.now(), duration(0)));
}

void claim_driver::perform(const dispatch_claimed&)
{
    handlers_.dispatch();
}

void claim_driver::perform(const answer_stored& action)
{
    handlers_.answer(action.outcome);
}

void claim_driver::perform(const refuse_request& action)
{
    handlers_.refuse(action);
}

} // namespace vanillapost::router
