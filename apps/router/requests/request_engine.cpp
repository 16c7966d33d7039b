#include "requests/request_engine.hpp"

#include <algorithm>

namespace vanillapost::router {

request_engine::request_engine(io::event_loop& loop, cluster_view& cluster,
                               const platform_adapter& adapter,
                               const router_settings& settings,
                               router_metrics& metrics, router_log& log,
                               rollout_controller& rollouts,
                               std::function<bool()> has_newest_configuration,
                               target_signal_handlers on_signals,
                               random_engine random)
    : loop_(loop), cluster_(cluster), adapter_(adapter), metrics_(metrics),
      log_(log), has_newest_configuration_(std::move(has_newest_configuration)),
      random_(random), connections_(loop, cluster, adapter),
      signals_(loop, cluster, adapter, metrics, log, std::move(on_signals)),
      probes_(
          loop, cluster, adapter, connections_, signals_, metrics, log,
          [this](std::uint64_t waiter, const target_id& target) {
              on_probe_done(waiter, target);
          },
          [this](const target_id& target) {
              crashes_.on_connection_refused(target);
          }),
      reach_(loop, cluster, probes_, log, random_engine(random_())),
      budgets_(settings.repeats, loop.now()),
      crashes_(loop, metrics, log, random_(),
               cluster.members.self().name.value),
      quotas_(loop, cluster, metrics, log),
      context_{loop,
               cluster,
               adapter,
               metrics,
               log,
               connections_,
               signals_,
               probes_,
               budgets_,
               statistics_,
               random_,
               [this](request_task& task) { on_ended(task); },
               [this](const service_id& service) { on_slot_freed(service); },
               [this](const service_id& service) { return waiting(service); },
               crashes_,
               [this](const target_id& target) {
                   crashes_.on_connection_refused(target);
               },
               rollouts,
               [this](const std::optional<organisation_id>& organisation) {
                   quotas_.charge(organisation);
               },
               std::nullopt}
{
}

void request_engine::on_quota_report(
    std::function<void(const quota_call&)> handler)
{
    quota_gate_handlers handlers;
    handlers.on_admitted = [this](std::unique_ptr<io::caller_exchange> exchange,
                                  incoming_request request) {
        dispatch(std::move(exchange), std::move(request));
    };
    handlers.on_refused = [this](io::caller_exchange& exchange,
                                 const problem& why,
                                 const incoming_request& request) {
        // Callers get times of their own already.
        refuse_exactly(exchange, why, request);
    };
    handlers.on_report_due = std::move(handler);
    quotas_.set_handlers(std::move(handlers));
}

void request_engine::set_claims(idempotency_claims& claims)
{
    claims_ = &claims;
    claims.on_dispatch([this](std::uint64_t claim,
                              std::unique_ptr<io::caller_exchange> exchange,
                              incoming_request request) {
        begin(std::move(exchange), std::move(request), claim);
    });
}

void request_engine::handle(std::unique_ptr<io::caller_exchange> exchange,
                            io::http_request message)
{
    incoming_request request;
    request.message = std::move(message);
    request.arrived = exchange->taken_at();
    request.begun = loop_.now();
    cluster_.on_request(request.begun);
    const auto refused =
        run_filters(request, {cluster_, adapter_, generate_request_id_,
                              has_newest_configuration_, statistics_,
                              context_.shutdown, crashes_});
    if (refused) {
        refuse(*exchange, *refused, request);
        return;
    }
    if (request.rule.kind == request_kind::download)
        exchange->hold_followers();
    quotas_.handle(std::move(exchange), std::move(request));
}

void request_engine::dispatch(std::unique_ptr<io::caller_exchange> exchange,
                              incoming_request request)
{
    if (!claims_ || request.idempotency_key.empty()) {
        begin(std::move(exchange), std::move(request), 0);
        return;
    }
    claims_->start(std::move(exchange), std::move(request));
    if (context_.shutdown)
        claims_->limit_answers(context_.shutdown->answers_until());
}

void request_engine::leave(const shutdown_plan& plan)
{
    context_.shutdown = plan;
    for (const auto& [number, task] : tasks_)
        task->limit_deadline(plan.answers_until());
    if (claims_)
        claims_->limit_answers(plan.answers_until());
    quotas_.leave();
}

void request_engine::begin(std::unique_ptr<io::caller_exchange> exchange,
                           incoming_request request, std::uint64_t claim)
{
    const auto service = cluster_.parts.pick(request.rule);
    budgets_.of(service).on_request(loop_.now());
    const auto number = next_number_++;
    auto task = std::make_unique<request_task>(
        number, context_, std::move(exchange), std::move(request), service);
    auto& started = *task;
    tasks_.emplace(number, std::move(task));
    if (claim != 0)
        claim_numbers_.emplace(number, claim);
    metrics_.set_in_flight(tasks_.size());
    started.start();
}

std::string request_engine::generate_request_id()
{
    const auto& self = cluster_.members.self();
    return self.name.value + "-" + self.incarnation + "-" +
           std::to_string(++generated_ids_);
}

void request_engine::refuse(io::caller_exchange& exchange, const problem& why,
                            const incoming_request& request)
{
    auto answer = why;
    if (answer.retry_after)
        answer.retry_after =
            jitter_retry_after({*answer.retry_after}, draw_share(random_));
    refuse_exactly(exchange, answer, request);
}

void request_engine::refuse_exactly(io::caller_exchange& exchange,
                                    const problem& why,
                                    const incoming_request& request)
{
    if (why.status == status_not_found)
        metrics_.count_unrouted();
    if (why.status == status_unauthorized)
        metrics_.count_unauthorized();
    log_.request(
        io::log_level::warning, "request_refused",
        {{"request_id", request.id},
         {"target", request.message.target},
         {"configuration", std::to_string(cluster_.routes().config().version)},
         {"status", std::to_string(why.status)},
         {"reason", why.detail}});
    reply_problem(exchange, why, request.id, adapter_);
}

int request_engine::waiting(const service_id& service) const
{
    return static_cast<int>(
        std::ranges::count_if(tasks_, [&](const auto& each) {
            return each.second->waits_for_slot() &&
                   each.second->service() == service;
        }));
}

void request_engine::set_members(std::size_t live)
{
    budgets_.set_members(live);
}

void request_engine::on_probe_done(std::uint64_t waiter,
                                   const target_id& target)
{
    const auto found = tasks_.find(waiter);
    if (found != tasks_.end())
        found->second->on_probe_done(target);
}

// Gives the slot to the waiting request that is first by `rank`; of equals, to
// the oldest.
void request_engine::on_slot_freed(const service_id& service)
{
    request_task* next = nullptr;
    for (const auto& [number, task] : tasks_) {
        if (!task->waits_for_slot() || task->service() != service)
            continue;
        if (!next || task->rank() < next->rank())
            next = task.get();
    }
    if (next)
        next->on_slot_freed();
}

// The task may still be on the stack, so it is destroyed later.
void request_engine::on_ended(request_task& task)
{
    const auto claim = claim_numbers_.extract(task.number());
    if (!claim.empty())
        claims_->on_ended(claim.mapped(), task.result());
    auto node = tasks_.extract(task.number());
    loop_.dispose(std::move(node.mapped()));
    metrics_.set_in_flight(tasks_.size());
}

} // namespace vanillapost::router
