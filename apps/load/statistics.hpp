#ifndef VANILLAPOST_APPS_LOAD_STATISTICS_HPP
#define VANILLAPOST_APPS_LOAD_STATISTICS_HPP

#include "latency_histogram.hpp"
#include "outcome.hpp"

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillapost::load {

/// Counts of calls by outcome, and latencies of the good ones.
class call_counts
{
public:
    void offer()
    {
        ++offered_;
    }
    void add(const finished_call& call);

    std::uint64_t offered() const
    {
        return offered_;
    }
    std::uint64_t count(outcome value) const
    {
        return by_outcome_[static_cast<std::size_t>(value)];
    }
    const latency_histogram& latencies() const
    {
        return latencies_;
    }

    /// \param seconds  length of what was counted, for goodput
    nlohmann::json to_json(double seconds) const;

private:
    std::uint64_t offered_ = 0;
    std::uint64_t in_time_ = 0;
    std::array<std::uint64_t, outcome_count> by_outcome_{};
    latency_histogram latencies_;
};

/// Counts of a stretch, by service and in all.
struct stretch_counts
{
    std::map<std::string, call_counts> services;
    call_counts total;

    void offer(const std::string& service);
    void add(const finished_call& call);
    nlohmann::json to_json(double seconds) const;
};

/// Everything that a run counts. A call counts for the second and the phase
/// in which it was meant to start.
class run_statistics
{
public:
    explicit run_statistics(std::size_t phases) : phases_(phases)
    {
    }

    void offer(const std::string& service, std::size_t phase,
               std::size_t second);
    void add(const finished_call& call);
    void count_retry()
    {
        ++retries_;
    }
    void count_connect_retry()
    {
        ++connect_retries_;
    }

    const stretch_counts& all() const
    {
        return all_;
    }
    const std::vector<stretch_counts>& phases() const
    {
        return phases_;
    }
    const std::vector<call_counts>& seconds() const
    {
        return seconds_;
    }

    /// \param lengths  of the phases, in seconds
    nlohmann::json to_json(const std::vector<double>& lengths) const;

private:
    nlohmann::json seconds_json() const;
    call_counts& second(std::size_t index);

    stretch_counts all_;
    std::vector<stretch_counts> phases_;
    std::vector<call_counts> seconds_;
    std::uint64_t retries_ = 0;
    std::uint64_t connect_retries_ = 0;
};

} // namespace vanillapost::load

#endif
