#include "burn_report.hpp"

#include <algorithm>

namespace vanillapost::burn_app {

namespace {

/// Different ones that are kept; more are dropped.
constexpr std::size_t max_failures = 100;
constexpr std::size_t max_history = 2000;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

nlohmann::json window_json(const burn_window& window, double objective)
{
    return {{"window_seconds", to_seconds(window.length)},
            {"covered_seconds", to_seconds(window.covered)},
            {"good", window.answers.good},
            {"total", window.answers.total},
            {"error_rate", window.error_rate()},
            {"burn_rate", window.burn_rate(objective)}};
}

nlohmann::json service_json(const service_burn& service)
{
    nlohmann::json result = {{"service", service.name.value},
                             {"objective", service.objective},
                             {"good", service.answers.good},
                             {"total", service.answers.total},
                             {"budget_left", service.budget_left},
                             {"severity", name_of(service.severity)},
                             {"windows", nlohmann::json::array()}};
    for (const auto& each : service.windows)
        result["windows"].push_back(window_json(each, service.objective));
    return result;
}

burn_point difference(const answer_count& before, const answer_count& after,
                      time_point at)
{
    const auto total = after.total - before.total;
    const auto good = after.good - before.good;
    if (total == 0)
        return {at, 0};
    return {at, static_cast<double>(total - good) / static_cast<double>(total)};
}

} // namespace

nlohmann::json to_json(const burn_report& report)
{
    nlohmann::json result = {{"written_at", report.written_at},
                             {"observed_seconds", to_seconds(report.observed)},
                             {"entries", report.entries},
                             {"failures", report.failures},
                             {"services", nlohmann::json::array()}};
    for (const auto& each : report.services)
        result["services"].push_back(service_json(each));
    return result;
}

burn_collector::burn_collector(std::map<service_id, double> objectives,
                               double fallback, bool from_start)
    : objectives_(std::move(objectives)), fallback_(fallback),
      from_start_(from_start)
{
}

burn_collector::followed& burn_collector::follow(const service_id& name)
{
    const auto found = services_.find(name);
    if (found != services_.end())
        return found->second;
    burn_settings settings;
    const auto objective = objectives_.find(name);
    const double wanted =
        objective == objectives_.end() ? fallback_ : objective->second;
    settings.objective = std::min(wanted, highest_objective);
    settings.resolution = std::chrono::seconds(1);
    return services_.emplace(name, followed{burn_tracker(settings), {}, {}})
        .first->second;
}

void burn_collector::observe(const std::string& entry, time_point at,
                             const std::map<service_id, answer_count>& counts)
{
    first_ = first_.value_or(at);
    const bool entry_is_new = entries_.insert(entry).second;
    for (const auto& [name, count] : counts) {
        // A service that appears at an entry seen before counted from zero.
        const bool from_zero = from_start_ || !entry_is_new;
        const bool is_new = seen_.insert({entry, name}).second;
        follow(name).tracker.observe(entry, at, count, is_new && from_zero);
    }
}

void burn_collector::note_failure(const std::string& what)
{
    const auto found = failures_.find(what);
    if (found != failures_.end())
        ++found->second;
    else if (failures_.size() < max_failures)
        failures_.emplace(what, 1);
}

void burn_collector::end_round(time_point at)
{
    for (auto& [name, each] : services_) {
        const auto total = each.tracker.total();
        if (each.history.size() < max_history)
            each.history.push_back(difference(each.last, total, at));
        each.last = total;
    }
}

burn_report burn_collector::report(time_point now) const
{
    burn_report result;
    result.entries = entries_.size();
    result.failures = failures_;
    result.observed = first_ ? now - *first_ : duration(0);
    for (const auto& [name, each] : services_) {
        service_burn service;
        service.name = name;
        service.objective = each.tracker.settings().objective;
        service.answers = each.tracker.total();
        service.budget_left = each.tracker.budget_left(now);
        service.severity = each.tracker.severity(now);
        for (const auto length : burn_windows)
            service.windows.push_back(each.tracker.window(length, now));
        service.history = each.history;
        result.services.push_back(std::move(service));
    }
    return result;
}

} // namespace vanillapost::burn_app
