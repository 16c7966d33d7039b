// Compares ways to place requests on targets in virtual time: the library's
// holds, limits, routing and admission against placement by dated reports.
#include "routing/baseline_run.hpp"
#include "routing/held_run.hpp"
#include "routing/result.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace {

using namespace vanillapost;
using namespace vanillapost::bench;

/// Draws arrivals, hands them to the entries and collects the answers.
template <class Entries>
class arrivals
{
public:
    arrivals(event_queue& events, const scenario& setting, Entries& entries,
             run_result& result)
        : events_(events), setting_(setting), entries_(entries),
          result_(result), random_(setting.seed, 4)
    {
    }

    void run()
    {
        next();
        events_.run();
        const double seconds =
            std::chrono::duration<double>(last_ - first_).count();
        result_.goodput =
            static_cast<double>(good_in_time_) / seconds / setting_.capacity();
    }

private:
    void next()
    {
        if (count_ == setting_.requests)
            return;
        std::exponential_distribution<double> gap(setting_.load *
                                                  setting_.capacity() / 1e6);
        events_.after(duration(static_cast<duration::rep>(gap(random_))),
                      [this] {
                          call();
                          next();
                      });
    }

    void call()
    {
        // The first fifth warms up and is not counted.
        const bool counted = ++count_ > setting_.requests / 5;
        last_ = events_.now();
        if (!counted)
            first_ = last_;
        const auto centre =
            random_(static_cast<std::uint32_t>(setting_.data_centres));
        const std::size_t entry = entries_.entry_for(centre);
        const bool near = entry % setting_.data_centres == centre;
        const duration way = setting_.to_callers +
                             (near ? duration{} : setting_.between_centres);
        const time_point intended = events_.now();
        const time_point deadline = intended + setting_.deadline;
        events_.after(way, [=, this] {
            entries_.serve(entry, deadline, [=, this](bool ok) {
                note(events_.now() + way - intended, ok, counted);
            });
        });
    }

    void note(duration latency, bool ok, bool counted)
    {
        if (!counted)
            return;
        good_in_time_ += ok && count_ < setting_.requests;
        if (ok)
            result_.good.push_back(latency);
        else
            ++result_.failed;
    }

    event_queue& events_;
    const scenario& setting_;
    Entries& entries_;
    run_result& result_;
    random_engine random_;
    std::size_t count_ = 0;
    std::size_t good_in_time_ = 0; ///< while requests arrived
    time_point first_{};
    time_point last_{};
};

std::deque<fake_target> make_targets(event_queue& events,
                                     const scenario& setting)
{
    std::deque<fake_target> targets;
    for (std::size_t i = 0; i < setting.targets; ++i)
        targets.emplace_back(events, setting, i);
    return targets;
}

/// When one target turns slow, after a tenth of the run.
time_point slowdown(const event_queue& events, const scenario& setting)
{
    const double seconds = static_cast<double>(setting.requests) /
                           (10 * setting.load * setting.capacity());
    return events.now() + duration(static_cast<duration::rep>(seconds * 1e6));
}

template <class Entries>
run_result measure(event_queue& events, const scenario& setting,
                   std::deque<fake_target>& targets, Entries& entries)
{
    run_result result;
    if (setting.slow_target)
        events.at(slowdown(events, setting),
                  [&targets] { targets.front().set_slow(); });
    arrivals<Entries>(events, setting, entries, result).run();
    for (const fake_target& target : targets)
        result.over_limit += target.over_limit();
    result.forwards = entries.forwards();
    return result;
}

/// Does something again and again for as long as requests arrive.
void repeat(event_queue& events, const scenario& setting, duration interval,
            const event_queue::action& what)
{
    const double seconds = static_cast<double>(setting.requests) /
                           (setting.load * setting.capacity());
    const time_point end =
        events.now() + duration(static_cast<duration::rep>(seconds * 1e6));
    for (time_point at = events.now(); at < end; at += interval)
        events.at(at, what);
}

run_result run_policy(const scenario& setting, const placement_policy& policy)
{
    event_queue events;
    auto targets = make_targets(events, setting);
    run_result result;
    if (std::holds_alternative<held_placement>(policy)) {
        held_entries entries(events, setting, targets);
        repeat(events, setting, status_interval,
               [&entries] { entries.repeat_reports(); });
        result = measure(events, setting, targets, entries);
    } else {
        baseline_entries entries(events, setting, targets, policy);
        repeat(events, setting, report_interval,
               [&entries] { entries.read_reports(); });
        result = measure(events, setting, targets, entries);
    }
    result.policy = name_of(policy);
    return result;
}

void print_row(const nlohmann::json& row)
{
    std::printf(
        "%-14s %-12s %3.0f%% %-4s %-14s %8.1f %8.1f %8.1f %7.1f%% "
        "%7zu %7zu\n",
        row["user"].get<std::string>().c_str(),
        row["service"].get<std::string>().c_str(),
        100 * row["load"].get<double>(),
        row["slow_target"].get<bool>() ? "slow" : "",
        row["policy"].get<std::string>().c_str(), row["p50_ms"].get<double>(),
        row["p99_ms"].get<double>(), row["p999_ms"].get<double>(),
        100 * row["goodput_share"].get<double>(),
        row["failed"].get<std::size_t>(), row["over_limit"].get<std::size_t>());
}

std::vector<placement_policy> all_policies()
{
    return {held_placement{target_picker(target_picker_settings{})},
            random_placement{}, round_robin_placement{},
            least_reported_placement{}, two_choices_placement{}};
}

nlohmann::json run_all(std::size_t requests, std::uint64_t seed)
{
    nlohmann::json rows = nlohmann::json::array();
    for (scenario setting : scenarios_of_today()) {
        setting.requests = requests;
        setting.seed = seed;
        for (bool slow : {false, true}) {
            for (double load : {0.5, 0.7, 0.85, 0.95, 1.5}) {
                setting.slow_target = slow;
                setting.load = load;
                for (const auto& policy : all_policies()) {
                    run_result result = run_policy(setting, policy);
                    rows.push_back(to_json(setting, result));
                    print_row(rows.back());
                }
            }
        }
    }
    return rows;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Compares placement policies in virtual time."};
    std::size_t requests = 20'000;
    std::uint64_t seed = 1;
    std::string output;
    app.add_option("--requests", requests, "requests in each run")
        ->check(CLI::Range(100, 10'000'000));
    app.add_option("--seed", seed, "seed of all random numbers");
    app.add_option("--json", output, "file for the results as JSON");
    CLI11_PARSE(app, argc, argv);
    std::printf("%-14s %-12s %4s %-4s %-14s %8s %8s %8s %8s %7s %7s\n", "user",
                "service", "load", "", "policy", "p50 ms", "p99 ms", "p99.9 ms",
                "goodput", "failed", "over");
    const auto rows = run_all(requests, seed);
    if (!output.empty())
        std::ofstream(output) << rows.dump(1) << '\n';
    return 0;
}
