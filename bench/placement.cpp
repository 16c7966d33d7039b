// Compares ways to place requests on targets in virtual time: the library's
// choice, without its parts, and the usual baselines by dated reports.
#include "replay/load_replay.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace {

using namespace vanillapost;
using namespace vanillapost::bench;

struct policy
{
    std::string name;
    std::function<choice(const load_pattern&, std::size_t instance)> make;
};

policy library_policy(std::string name, library_choice::options how)
{
    return {std::move(name), [how](const load_pattern& pattern, std::size_t i) {
                return choice(library_choice(pattern, i, how));
            }};
}

policy baseline_policy(std::string name, baseline_choice::rule rule)
{
    return {std::move(name),
            [rule](const load_pattern& pattern, std::size_t i) {
                return choice(baseline_choice(rule, pattern, i));
            }};
}

std::vector<policy> all_policies()
{
    using rule = baseline_choice::rule;
    return {library_policy("library", {}),
            library_policy("not measuring", {.measures = false}),
            library_policy("places late", {.min_free_share = 0}),
            library_policy("never refusing", {.queues_always = true}),
            baseline_policy("random", rule::random),
            baseline_policy("round robin", rule::round_robin),
            baseline_policy("least reported", rule::least_reported),
            baseline_policy("two choices", rule::two_choices)};
}

nlohmann::json run(const load_pattern& pattern, double load,
                   const policy& which)
{
    auto result = load_replay(pattern, [&](std::size_t instance) {
                      return which.make(pattern, instance);
                  }).run();
    return {{"user", pattern.user},
            {"service", pattern.service},
            {"load", load},
            {"policy", which.name},
            {"in_time", result.in_time_share()},
            {"lost", result.lost_share()},
            {"p50_ms", result.quantile_ms(0.5)},
            {"p99_ms", result.quantile_ms(0.99)}};
}

void print(const nlohmann::json& row)
{
    std::printf("%-14s %-12s %4.0f%% %-15s %7.3f %7.3f %8.0f %8.0f\n",
                row["user"].get<std::string>().c_str(),
                row["service"].get<std::string>().c_str(),
                100 * row["load"].get<double>(),
                row["policy"].get<std::string>().c_str(),
                row["in_time"].get<double>(), row["lost"].get<double>(),
                row["p50_ms"].get<double>(), row["p99_ms"].get<double>());
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Compares placement policies in virtual time."};
    double seconds = 60;
    std::uint64_t seed = 7;
    std::vector<double> loads = {0.2, 0.5, 0.8, 1.5};
    std::string output;
    app.add_option("--seconds", seconds, "length of each run, in virtual time")
        ->check(CLI::Range(1.0, 100'000.0));
    app.add_option("--loads", loads, "offered, as shares of the capacity");
    app.add_option("--seed", seed, "seed of all random numbers");
    app.add_option("--json", output, "file for the results as JSON");
    CLI11_PARSE(app, argc, argv);
    std::printf("%-14s %-12s %5s %-15s %7s %7s %8s %8s\n", "user", "service",
                "load", "policy", "in time", "lost", "p50 ms", "p99 ms");
    auto rows = nlohmann::json::array();
    for (auto pattern : patterns_of_today()) {
        pattern.seed = seed;
        pattern.length = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(seconds));
        for (const double load : loads) {
            pattern.per_second = load * pattern.capacity();
            for (const auto& each : all_policies()) {
                rows.push_back(run(pattern, load, each));
                print(rows.back());
            }
        }
    }
    if (!output.empty())
        std::ofstream(output) << rows.dump(1) << '\n';
    return 0;
}
