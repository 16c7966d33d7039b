#include "../../standins/common/json_http.hpp"
#include "load_run.hpp"
#include "svg_plot.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <utility>

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

std::uint64_t count_other(const call_counts& counts)
{
    return counts.count(outcome::failed) + counts.count(outcome::unreachable) +
           counts.count(outcome::truncated) +
           counts.count(outcome::wrong_answer);
}

std::string format_ms(double value)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << value;
    return out.str();
}

void print_progress(const load_run& run, std::size_t second)
{
    const auto& seconds = run.statistics().seconds();
    if (second >= seconds.size())
        return;
    const auto& now = seconds[second];
    using std::setw;
    std::cerr << setw(4) << second << " s  offered " << setw(5) << now.offered()
              << "  ok " << setw(5) << now.count(outcome::ok) << "  refused "
              << setw(4) << now.count(outcome::refused) << "  maybe " << setw(3)
              << now.count(outcome::maybe) << "  other " << setw(3)
              << count_other(now) << "  p50 " << setw(6)
              << format_ms(now.latencies().quantile_ms(0.5)) << " ms  p99 "
              << setw(6) << format_ms(now.latencies().quantile_ms(0.99))
              << " ms\n";
}

void print_row(const std::string& name, const call_counts& counts)
{
    const auto& latencies = counts.latencies();
    using std::setw;
    std::cout << std::left << setw(16) << name << std::right << setw(8)
              << counts.offered() << setw(8) << counts.count(outcome::ok)
              << setw(8) << counts.count(outcome::refused) << setw(7)
              << counts.count(outcome::maybe) << setw(7) << count_other(counts)
              << setw(10) << format_ms(latencies.quantile_ms(0.5)) << setw(10)
              << format_ms(latencies.quantile_ms(0.99)) << setw(10)
              << format_ms(latencies.quantile_ms(0.999)) << "\n";
}

void print_table(const std::string& title, const stretch_counts& counts)
{
    std::cout << title << "\n"
              << "service          offered      ok refused  maybe  other"
                 "    p50 ms    p99 ms  p99.9 ms\n";
    for (const auto& [name, service] : counts.services)
        print_row(name, service);
}

void print_tables(const load_run& run)
{
    const auto& phases = run.statistics().phases();
    const auto lengths = run.phase_seconds();
    for (std::size_t i = 0; phases.size() > 1 && i < phases.size(); ++i) {
        std::ostringstream title;
        title << "phase " << i + 1 << ", " << lengths[i] << " s";
        print_table(title.str(), phases[i]);
    }
    print_table("whole run", run.statistics().all());
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
        print_tables(run);
}

void run_load(const command_line& line)
{
    io::event_loop loop;
    load_run run(loop, make_settings(line), [&loop] { loop.stop(); });
    std::size_t second = 0;
    // A second is shown once most of its calls have ended.
    bool first = true;
    io::timer progress(loop, [&] {
        if (!std::exchange(first, false))
            print_progress(run, second++);
    });
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
