#include "vanillapost/src/retry/hedge_policy.hpp"
#include "vanillapost/src/retry/latency_histogram.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

/// Answers between two readings of the quantile.
constexpr int samples_per_update = 16;

} // namespace

hedge_policy::hedge_policy(const hedge_settings& settings)
    : settings_(settings),
      latencies_(std::make_unique<detail::latency_histogram>(
          settings.samples_per_window)),
      until_update_(settings.fewest_samples)
{
}

hedge_policy::~hedge_policy() = default;
hedge_policy::hedge_policy(hedge_policy&& other) noexcept = default;
hedge_policy& hedge_policy::operator=(hedge_policy&& other) noexcept = default;

void hedge_policy::observe(duration latency)
{
    latencies_->add(latency);
    if (--until_update_ > 0)
        return;
    until_update_ = samples_per_update;
    delay_ = std::max(latencies_->quantile(settings_.quantile),
                      settings_.shortest_delay);
}

std::optional<duration> hedge_policy::delay() const
{
    return delay_;
}

std::optional<time_point> hedge_policy::hedge_at(const request_facts& request,
                                                 time_point now) const
{
    const bool allowed = request.kind == request_class::lookup &&
                         request.caller_attempt == 0 && request.attempts == 1;
    if (!allowed || !delay_)
        return std::nullopt;
    const time_point at = now + *delay_;
    if (at + settings_.shortest_attempt > request.deadline)
        return std::nullopt;
    return at;
}

bool hedge_policy::try_hedge(const request_facts& request, time_point now,
                             retry_budget& budget) const
{
    if (request.kind != request_class::lookup || request.caller_attempt > 0)
        return false;
    if (request.attempts != 1)
        return false;
    if (now + settings_.shortest_attempt > request.deadline)
        return false;
    return budget.try_spend();
}

} // namespace vanillapost
