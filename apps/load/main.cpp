#include "../../standins/common/json_http.hpp"
#include "load_run.hpp"
#include "svg_plot.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace {

using namespace vanillapost;
using namespace vanillapost::load;

struct command_line
{
    std::vector<std::string> entries;
    std::string mix;
    std::string phases = "30:1";
    std::vector<std::string> direct;
    std::string json;
    std::string svg;
    bool quiet = false;
    run_settings settings;
};

void add_options(CLI::App& app, command_line& line)
{
    auto& settings = line.settings;
    app.add_option("--mix", line.mix, "JSON file that says what is called")
        ->required();
    app.add_option("--entries", line.entries,
                   "Addresses of entries to ask first");
    app.add_option("--direct", line.direct,
                   "Call the targets of these record files, without entries");
    app.add_option("--phases", line.phases,
                   "SECONDS:FACTOR,... with factors of the mix's rates")
        ->capture_default_str();
    app.add_option("--retries", settings.retries,
                   "Tries after a refusal, when it says to come back")
        ->capture_default_str();
    app.add_flag("--repeat-bookings", settings.repeat_bookings,
                 "Repeat bookings that may have run, with the same key");
    app.add_option("--seed", settings.seed, "Seed of arrivals and choices")
        ->capture_default_str();
    app.add_option("--json", line.json, "File for the results; - for output");
    app.add_option("--svg", line.svg, "File for a plot of the run");
    app.add_flag("--quiet", line.quiet, "No progress line each second");
}

std::map<std::string, std::vector<io::address>>
read_targets(const std::vector<std::string>& paths)
{
    std::map<std::string, std::vector<io::address>> result;
    for (const auto& path : paths) {
        auto document = standin::read_json_file(path);
        if (!document.is_array())
            document = nlohmann::json::array({document});
        for (const auto& each : document) {
            const auto parsed = parse_record_document(each, path);
            if (const auto* target = std::get_if<target_record>(&parsed))
                result[target->service.value].push_back(
                    io::parse_address(target->address));
        }
    }
    return result;
}

run_settings make_settings(const command_line& line)
{
    auto settings = line.settings;
    settings.mix = parse_mix(standin::read_json_file(line.mix), line.mix);
    settings.phases = parse_phases(line.phases);
    settings.direct = !line.direct.empty();
    settings.targets = read_targets(line.direct);
    for (const auto& text : line.entries)
        settings.entries.push_back(io::parse_address(text));
    if (!settings.direct && settings.entries.empty())
        throw error("read options", "", "give --entries or --direct");
    return settings;
}

void print_progress(const load_run& run, std::size_t second)
{
    const auto& seconds = run.statistics().seconds();
    if (second >= seconds.size())
        return;
    const auto& now = seconds[second];
    std::fprintf(stderr,
                 "%4zu s  offered %5llu  ok %5llu  refused %4llu  other %4llu"
                 "  p50 %7.1f ms  p99 %7.1f ms  in flight %zu\n",
                 second, static_cast<unsigned long long>(now.offered()),
                 static_cast<unsigned long long>(now.count(outcome::ok)),
                 static_cast<unsigned long long>(now.count(outcome::refused)),
                 static_cast<unsigned long long>(
                     now.count(outcome::maybe) + now.count(outcome::failed) +
                     now.count(outcome::unreachable) +
                     now.count(outcome::truncated) +
                     now.count(outcome::wrong_answer)),
                 now.latencies().quantile_ms(0.5),
                 now.latencies().quantile_ms(0.99), run.in_flight());
}

void print_table(const stretch_counts& all)
{
    std::printf("%-16s %8s %8s %8s %6s %7s %9s %9s %9s\n", "service", "offered",
                "ok", "refused", "maybe", "failed", "p50 ms", "p99 ms",
                "p99.9 ms");
    for (const auto& [name, counts] : all.services) {
        const auto settled = counts.count(outcome::ok) +
                             counts.count(outcome::refused) +
                             counts.count(outcome::maybe);
        std::printf(
            "%-16s %8llu %8llu %8llu %6llu %7llu %9.1f %9.1f %9.1f\n",
            name.c_str(), static_cast<unsigned long long>(counts.offered()),
            static_cast<unsigned long long>(counts.count(outcome::ok)),
            static_cast<unsigned long long>(counts.count(outcome::refused)),
            static_cast<unsigned long long>(counts.count(outcome::maybe)),
            static_cast<unsigned long long>(counts.offered() - settled),
            counts.latencies().quantile_ms(0.5),
            counts.latencies().quantile_ms(0.99),
            counts.latencies().quantile_ms(0.999));
    }
}

void write_file(const std::string& path, const std::string& text)
{
    if (path == "-") {
        std::cout << text;
        return;
    }
    std::ofstream file(path);
    file << text;
    if (!file.flush())
        throw error("write file", path, "cannot be written");
}

void write_results(const command_line& line, const load_run& run)
{
    const auto& statistics = run.statistics();
    auto results = statistics.to_json(run.phase_seconds());
    results["seed"] = line.settings.seed;
    results["direct"] = !line.direct.empty();
    if (!line.json.empty())
        write_file(line.json, results.dump(2) + "\n");
    if (!line.svg.empty())
        write_file(line.svg, plot_svg(statistics.seconds()));
    if (line.json != "-")
        print_table(statistics.all());
}

void run_load(const command_line& line)
{
    io::event_loop loop;
    load_run run(loop, make_settings(line), [&loop] { loop.stop(); });
    std::size_t second = 0;
    io::timer progress(loop, [&] { print_progress(run, second++); });
    if (!line.quiet)
        progress.start_every(std::chrono::seconds(1));
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    run.start();
    loop.run();
    write_results(line, run);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app(
        "Calls services through entries, open loop: calls start at Poisson "
        "times whether or not earlier ones have ended, and latency counts "
        "from the time at which a call was meant to start.\n"
        "Prints a line each second and a table at the end.");
    command_line line;
    add_options(app, line);
    CLI11_PARSE(app, argc, argv);
    try {
        run_load(line);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return 1;
    }
    return 0;
}
