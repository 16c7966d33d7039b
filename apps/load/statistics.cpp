#include "statistics.hpp"

#include <numeric>

namespace vanillapost::load {

namespace {

constexpr std::array<double, 3> quantiles = {0.5, 0.99, 0.999};
constexpr std::array<const char*, 3> quantile_names = {"p50_ms", "p99_ms",
                                                       "p999_ms"};

} // namespace

void call_counts::add(const finished_call& call)
{
    ++by_outcome_[static_cast<std::size_t>(call.result)];
    if (call.result != outcome::ok)
        return;
    latencies_.add(call.latency);
    in_time_ += call.in_time ? 1 : 0;
}

nlohmann::json call_counts::to_json(double seconds) const
{
    nlohmann::json result = {{"offered", offered_}, {"in_time", in_time_}};
    for (std::size_t i = 0; i < outcome_count; ++i)
        result[std::string(to_string(static_cast<outcome>(i)))] =
            by_outcome_[i];
    for (std::size_t i = 0; i < quantiles.size(); ++i)
        result[quantile_names[i]] = latencies_.quantile_ms(quantiles[i]);
    result["max_ms"] = latencies_.max_ms();
    result["goodput_per_second"] =
        seconds > 0.0 ? static_cast<double>(in_time_) / seconds : 0.0;
    return result;
}

void stretch_counts::offer(const std::string& service)
{
    services[service].offer();
    total.offer();
}

void stretch_counts::add(const finished_call& call)
{
    services[call.service].add(call);
    total.add(call);
}

nlohmann::json stretch_counts::to_json(double seconds) const
{
    auto list = nlohmann::json::object();
    for (const auto& [name, counts] : services)
        list[name] = counts.to_json(seconds);
    return {{"services", list}, {"total", total.to_json(seconds)}};
}

call_counts& run_statistics::second(std::size_t index)
{
    if (seconds_.size() <= index)
        seconds_.resize(index + 1);
    return seconds_[index];
}

void run_statistics::offer(const std::string& service, std::size_t phase,
                           std::size_t at_second)
{
    all_.offer(service);
    phases_.at(phase).offer(service);
    second(at_second).offer();
}

void run_statistics::add(const finished_call& call)
{
    all_.add(call);
    phases_.at(call.phase).add(call);
    second(call.second).add(call);
}

nlohmann::json run_statistics::seconds_json() const
{
    auto result = nlohmann::json::array();
    for (const auto& counts : seconds_)
        result.push_back(counts.to_json(1.0));
    return result;
}

nlohmann::json run_statistics::to_json(const std::vector<double>& lengths) const
{
    const double whole = std::accumulate(lengths.begin(), lengths.end(), 0.0);
    auto result = all_.to_json(whole);
    result["seconds"] = whole;
    result["retries"] = retries_;
    result["connect_retries"] = connect_retries_;
    auto& phases = result["phases"] = nlohmann::json::array();
    for (std::size_t i = 0; i < phases_.size(); ++i)
        phases.push_back(phases_[i].to_json(lengths.at(i)));
    result["by_second"] = seconds_json();
    return result;
}

} // namespace vanillapost::load
