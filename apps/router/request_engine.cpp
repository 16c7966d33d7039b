#include "request_engine.hpp"

#include "request_limits.hpp"

namespace vanillapost::router {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
/// A router without a configuration has one within about a second.
constexpr std::string_view retry_after_unconfigured = "0.5";

} // namespace

request_engine::request_engine(io::event_loop& loop, knowledge& known,
                               const platform_language& language,
                               const router_settings& settings,
                               router_metrics& metrics, router_log& log,
                               random_engine random)
    : loop_(loop), known_(known), language_(language), metrics_(metrics),
      log_(log), random_(random), connections_(loop, known, language),
      probes_(loop, known, language, connections_, metrics, log,
              [this](std::uint64_t waiter, const target_id& target) {
                  on_measured(waiter, target);
              }),
      budgets_(settings.repeats, loop.now()),
      context_{loop,
               known,
               language,
               metrics,
               log,
               connections_,
               probes_,
               budgets_,
               statistics_,
               random_,
               [this](request_task& task) { on_ended(task); },
               [this](const service_id& service) { on_slot_freed(service); }}
{
}

void request_engine::handle(std::unique_ptr<io::caller_exchange> exchange)
{
    auto request = exchange->take_request();
    if (!known_.is_configured()) {
        refuse(*exchange, status_unavailable, "no configuration is known yet",
               request);
        return;
    }
    const auto host = io::find_header(request.headers, "Host");
    if (!host) {
        refuse(*exchange, status_bad_request, "no Host header", request);
        return;
    }
    const auto* rule = known_.routes().find(*host, request.target);
    if (!rule) {
        metrics_.count_unrouted();
        refuse(*exchange, status_not_found, "no route matches", request);
        return;
    }
    const auto service = known_.parts.pick(*rule);
    budgets_.of(service).on_request(loop_.now());
    const auto number = next_number_++;
    auto task =
        std::make_unique<request_task>(number, context_, std::move(exchange),
                                       std::move(request), *rule, service);
    auto& started = *task;
    tasks_.emplace(number, std::move(task));
    metrics_.set_in_flight(tasks_.size());
    started.start();
}

void request_engine::refuse(io::caller_exchange& exchange, int status,
                            std::string_view reason,
                            const io::http_request& request)
{
    const auto id =
        io::find_header(request.headers, language_.headers.attempt_id);
    log_.request(
        io::log_level::warning, "request_refused",
        {{"request_id", std::string(id.value_or(""))},
         {"target", request.target},
         {"configuration", std::to_string(known_.routes().config().version)},
         {"status", std::to_string(status)},
         {"reason", std::string(reason)}});
    io::header_list headers{{"Content-Type", "text/plain"}};
    if (status == status_unavailable)
        headers.push_back(
            {"Retry-After", std::string(retry_after_unconfigured)});
    exchange.reply(status, headers, std::string(reason) + "\n");
}

void request_engine::set_members(std::size_t live)
{
    budgets_.set_members(live);
}

void request_engine::on_measured(std::uint64_t waiter, const target_id& target)
{
    const auto found = tasks_.find(waiter);
    if (found != tasks_.end())
        found->second->on_measured(target);
}

// The most urgent request gets the slot, of equals the oldest.
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

// The task may be on the stack.
void request_engine::on_ended(request_task& task)
{
    auto node = tasks_.extract(task.number());
    loop_.dispose(std::move(node.mapped()));
    metrics_.set_in_flight(tasks_.size());
}

} // namespace vanillapost::router
