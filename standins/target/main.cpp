#include "../common/json_http.hpp"
#include "target_service.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

namespace {

using namespace vanillapost;
using standin::target_service;
using standin::target_settings;

struct command_line
{
    std::vector<std::string> targets;
    std::vector<std::string> records;
    std::string state = "warm";
    std::int64_t load_lag_ms = 500;
    target_settings defaults;
};

void add_options(CLI::App& app, command_line& line)
{
    auto& one = line.defaults;
    app.add_option("--targets", line.targets,
                   "JSON files, each a list of targets to stand in for");
    app.add_option("--records", line.records,
                   "Operators' records; stands in for each target in them");
    app.add_option("--listen", one.address,
                   "Address of the one target, without --targets/--records")
        ->capture_default_str();
    app.add_option("--name", one.name, "Name of the one target")
        ->capture_default_str();
    app.add_option("--slots", one.slots, "Requests in flight when warm")
        ->capture_default_str();
    app.add_option("--cold-slots", one.cold_slots,
                   "Requests in flight in cold start")
        ->capture_default_str();
    app.add_option("--start", line.state, "State at the start")
        ->check(CLI::IsMember({"warm", "cold"}))
        ->capture_default_str();
    app.add_option("--cold-completions", one.cold_completions,
                   "Requests after which a cold target is warm")
        ->capture_default_str();
    app.add_option("--cold-factor", one.cold_factor,
                   "How much slower a cold target is")
        ->capture_default_str();
    app.add_option("--load-lag-ms", line.load_lag_ms,
                   "How far /health and /load lag")
        ->capture_default_str();
    app.add_option("--booking-ms", one.times[1].median_ms,
                   "Median service time of bookings")
        ->capture_default_str();
    app.add_option("--lookup-ms", one.times[0].median_ms,
                   "Median service time of lookups")
        ->capture_default_str();
    app.add_option("--download-ms", one.times[2].median_ms,
                   "Median time to a download's first byte")
        ->capture_default_str();
    app.add_option("--file-bytes-per-second", one.file_bytes_per_second,
                   "Pace of each download")
        ->capture_default_str();
    app.add_flag("--shed,!--no-shed", one.shed,
                 "Refuse work over the slots; else get ten times slower");
    app.add_option("--seed", one.seed, "Seed of service times and chances")
        ->capture_default_str();
}

std::vector<nlohmann::json> read_records(const std::vector<std::string>& paths)
{
    std::vector<nlohmann::json> result;
    for (const auto& path : paths) {
        auto document = standin::read_json_file(path);
        if (!document.is_array())
            document = nlohmann::json::array({document});
        result.insert(result.end(), document.begin(), document.end());
    }
    return result;
}

std::vector<target_settings> all_targets(const command_line& line)
{
    auto result =
        standin::targets_of_records(read_records(line.records), line.defaults);
    for (const auto& path : line.targets) {
        const auto more = standin::parse_targets(standin::read_json_file(path),
                                                 line.defaults, path);
        result.insert(result.end(), more.begin(), more.end());
    }
    if (line.targets.empty() && line.records.empty())
        result.push_back(line.defaults);
    return result;
}

void serve(const command_line& line)
{
    io::event_loop loop;
    std::vector<std::unique_ptr<target_service>> services;
    for (const auto& target : all_targets(line)) {
        services.push_back(std::make_unique<target_service>(loop, target));
        std::cout << target.name << " listening at "
                  << io::to_string(services.back()->address()) << "\n";
    }
    std::cout << "ready" << std::endl;
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for targets: slots, service times, cold start, "
                 "drain, shedding, deadlines and downloads.\n"
                 "Each target listens at its own address and takes faults at "
                 "POST /control/fault, clears them at POST /control/clear and "
                 "tells what happened at GET /control/truth.");
    command_line line;
    add_options(app, line);
    CLI11_PARSE(app, argc, argv);
    line.defaults.starts_cold = line.state == "cold";
    line.defaults.load_lag = std::chrono::milliseconds(line.load_lag_ms);
    try {
        serve(line);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return 1;
    }
    return 0;
}
