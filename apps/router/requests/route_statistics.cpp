#include "requests/route_statistics.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

constexpr double smoothing_factor = 0.05;
/// Defaults for a route that has had no answer yet.
constexpr double default_work_share = 0.4;
constexpr duration default_work = std::chrono::milliseconds(100);
constexpr double default_download_kib = 64;
constexpr double default_kib = 2;
constexpr double bytes_per_kib = 1024;

} // namespace

duration route_statistics::expected_work(const route& rule) const
{
    const auto found = routes_.find(rule.name);
    if (found != routes_.end())
        return duration(static_cast<duration::rep>(found->second.work_us));
    if (rule.latency_objective == duration::zero())
        return default_work;
    return scaled(rule.latency_objective, default_work_share);
}

double route_statistics::expected_kib(const route& rule) const
{
    const auto found = routes_.find(rule.name);
    if (found != routes_.end())
        return found->second.kib;
    return rule.kind == request_kind::download ? default_download_kib
                                               : default_kib;
}

duration route_statistics::waited(const route& rule, duration left)
{
    auto& estimator = wait_estimators_[rule.name];
    estimator.observe(left);
    return estimator.waited(left);
}

void route_statistics::on_answer(const route& rule, duration work,
                                 std::size_t bytes)
{
    const means first{static_cast<double>(expected_work(rule).count()),
                      expected_kib(rule)};
    auto& mean = routes_.try_emplace(rule.name, first).first->second;
    mean.work_us +=
        smoothing_factor * (static_cast<double>(work.count()) - mean.work_us);
    mean.kib += smoothing_factor *
                (static_cast<double>(bytes) / bytes_per_kib - mean.kib);
}

} // namespace vanillapost::router
