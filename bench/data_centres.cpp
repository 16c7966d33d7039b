// Compares ways to leave the data centre, in virtual time.
#include "replay/data_centre_replay.hpp"

#include <CLI/CLI.hpp>
#include <array>
#include <cstdio>

namespace {

using namespace vanillapost;
using namespace vanillapost::bench;

struct size
{
    std::size_t targets;
    int slots;
};

constexpr std::array<size, 3> sizes = {{{8, 2}, {45, 2}, {86, 4}}};
constexpr std::array<int, 3> one_way_us = {500, 1400, 3500};
constexpr std::array<std::pair<data_centre_rule, const char*>, 4> rules = {
    {{data_centre_rule::fixed_count, "fixed count"},
     {data_centre_rule::weighed, "weighed"},
     {data_centre_rule::local_only, "local only"},
     {data_centre_rule::no_preference, "no preference"}}};

void run(const data_centre_pattern& pattern, bool only_weighed)
{
    for (const auto& [rule, name] : rules) {
        if (only_weighed && rule != data_centre_rule::weighed)
            continue;
        const auto result = data_centre_replay(pattern, rule).run();
        std::printf(
            "| %s | %zu x %d | %.1f | %s | %.3f | %.0f | %.0f | %.3f "
            "| %.1f |\n",
            pattern.name.c_str(), pattern.targets, pattern.slots,
            std::chrono::duration<double, std::milli>(pattern.one_way).count(),
            name, result.in_time_share(), result.quantile_ms(0.5),
            result.quantile_ms(0.99), result.left_share(),
            result.left * pattern.kib / 1024);
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Compares ways to leave the data centre in virtual time."};
    double seconds = 15;
    std::uint64_t seed = 7;
    std::vector<std::size_t> chosen_sizes = {8, 45, 86};
    std::vector<int> chosen_delays(one_way_us.begin(), one_way_us.end());
    std::string only;
    bool only_weighed = false;
    app.add_flag("--only-weighed", only_weighed, "no other rule");
    app.add_option("--seconds", seconds, "length of each run, in virtual time")
        ->check(CLI::Range(1.0, 10'000.0));
    app.add_option("--seed", seed, "seed of all random numbers");
    app.add_option("--targets", chosen_sizes, "sizes: 8, 45 or 86 targets");
    app.add_option("--one-way-us", chosen_delays, "between data centres");
    app.add_option("--pattern", only, "only this one");
    exchange_settings exchange;
    app.add_option("--short-below", exchange.short_below);
    app.add_option("--enough-from", exchange.enough_from);
    app.add_option("--receives-from", exchange.receives_from);
    app.add_option("--min-gain-short", exchange.min_gain_short);
    app.add_option("--min-gain-slow", exchange.min_gain_slow);
    app.add_option("--min-difference", exchange.min_difference);
    double amount_period_ms = 3;
    app.add_option("--amount-period-ms", amount_period_ms);
    CLI11_PARSE(app, argc, argv);
    exchange.amount_period = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(amount_period_ms));
    std::printf("| pattern | targets | one way, ms | rule | in time | p50, ms "
                "| p99, ms | left | MiB |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (auto pattern : data_centre_patterns()) {
        if (!only.empty() && pattern.name != only)
            continue;
        pattern.seed = seed;
        pattern.exchange = exchange;
        pattern.length = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(seconds));
        for (const auto& each : sizes) {
            if (std::ranges::find(chosen_sizes, each.targets) ==
                chosen_sizes.end())
                continue;
            pattern.targets = each.targets;
            pattern.slots = each.slots;
            for (const int delay : chosen_delays) {
                pattern.one_way = std::chrono::microseconds(delay);
                run(pattern, only_weighed);
            }
        }
    }
    return 0;
}
