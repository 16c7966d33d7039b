#include "html_page.hpp"
#include "scraper.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <vanillapost/records.hpp>

namespace {

using namespace vanillapost;
using namespace vanillapost::burn_app;

struct settings
{
    std::vector<std::string> entries;
    std::string platform;
    std::string html;
    std::string json;
    double objective = 0.999;
    double interval_s = 2;
    double duration_s = 30;
    int timeout_ms = 1000;
    bool once = false;
};

enum exit_code
{
    exit_ok = 0,
    exit_no_answer = 1,
    exit_usage = 2,
    exit_not_written = 3,
};

constexpr const char* exit_help = "Exit codes:\n"
                                  "  0  the report is written\n"
                                  "  1  no entry answered; the report says so\n"
                                  "  2  wrong usage\n"
                                  "  3  a file could not be written\n";

std::string check_address(const std::string& text)
{
    try {
        io::parse_address(text);
        return {};
    } catch (const error& failure) {
        return failure.what();
    }
}

void add_settings(CLI::App& app, settings& value)
{
    app.add_option("ENTRY", value.entries, "IP and port of each entry")
        ->required()
        ->check(check_address);
    app.add_option("--platform", value.platform,
                   "table service, for the objectives of services")
        ->check(check_address);
    app.add_option("--objective", value.objective,
                   "share of good answers where no record gives one")
        ->check(CLI::Range(0.0, highest_objective))
        ->capture_default_str();
    app.add_option("--interval", value.interval_s, "seconds between readings")
        ->check(CLI::Range(0.1, 3600.0))
        ->capture_default_str();
    app.add_option("--duration", value.duration_s,
                   "seconds to watch; an interrupt ends it earlier")
        ->check(CLI::Range(0.0, 30.0 * 86400))
        ->capture_default_str();
    app.add_flag("--once", value.once,
                 "read once and report all answers since the entries started");
    app.add_option("--timeout-ms", value.timeout_ms,
                   "longest wait for an entry")
        ->check(CLI::Range(1, 60'000))
        ->capture_default_str();
    app.add_option("--html", value.html, "file for the page");
    app.add_option("--json", value.json, "file for JSON; \"-\" to print it");
}

duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

std::map<service_id, double> objectives_of(const table_changes& changes)
{
    std::map<service_id, double> result;
    record_set records;
    for (const auto& row : changes.rows)
        records.apply({row.key, row.at, row.value});
    for (const auto& [name, service] : records.services())
        result[name] = service.availability;
    return result;
}

std::map<service_id, double> read_objectives(io::event_loop& loop,
                                             const settings& value)
{
    std::map<service_id, double> result;
    if (value.platform.empty())
        return result;
    io::platform_client client(loop, io::parse_address(value.platform),
                               "vanillapost-burn",
                               std::chrono::milliseconds(value.timeout_ms));
    client.changes("records/service/", 0, [&](auto answer) {
        if (const auto* changes = std::get_if<table_changes>(&answer))
            result = objectives_of(*changes);
        else
            std::cerr << "the platform did not give the objectives; using "
                      << value.objective << "\n";
        loop.stop();
    });
    loop.run();
    return result;
}

std::string time_text(std::int64_t unix_ms)
{
    constexpr int ms_per_second = 1000;
    const std::time_t seconds_now = unix_ms / ms_per_second;
    std::tm parts{};
    gmtime_r(&seconds_now, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &parts);
    return text;
}

/// Watches the entries until the time is over or a signal comes.
burn_report watch(io::event_loop& loop, const settings& value)
{
    std::vector<io::address> entries;
    for (const auto& each : value.entries)
        entries.push_back(io::parse_address(each));
    burn_collector collector(read_objectives(loop, value), value.objective,
                             value.once);
    scraper reader(loop, entries, std::chrono::milliseconds(value.timeout_ms),
                   collector);
    const auto end = loop.now() + seconds(value.duration_s);
    bool interrupted = false;
    std::function<void()> next;
    io::timer pause(loop, [&] { reader.start_round(next); });
    next = [&] {
        const auto resume = loop.now() + seconds(value.interval_s);
        if (value.once || interrupted || resume > end)
            loop.stop();
        else
            pause.start_once(seconds(value.interval_s));
    };
    const auto interrupt = [&] {
        interrupted = true;
        loop.stop();
    };
    loop.on_signal(SIGINT, interrupt);
    loop.on_signal(SIGTERM, interrupt);
    reader.start_round(next);
    loop.run();
    auto report = collector.report(loop.now());
    report.written_at = time_text(loop.unix_ms());
    return report;
}

bool write_file(const std::string& path, const std::string& text)
{
    if (path.empty())
        return true;
    if (path == "-") {
        std::cout << text;
        return true;
    }
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    if (!file)
        std::cerr << path << " could not be written\n";
    return !file.fail();
}

void print_summary(const burn_report& report)
{
    for (const auto& each : report.services) {
        std::cout << each.name.value << ": " << each.answers.good << " good of "
                  << each.answers.total << ", budget left "
                  << each.budget_left * 100 << "%, alarm "
                  << name_of(each.severity) << "\n";
    }
    for (const auto& [what, times] : report.failures)
        std::cerr << what << " (" << times << " times)\n";
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Reports how fast each service uses up its error budget.");
    app.footer(exit_help);
    settings value;
    add_settings(app, value);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        return app.exit(failure) == 0 ? exit_ok : exit_usage;
    }
    io::event_loop loop;
    const auto report = watch(loop, value);
    if (value.json != "-")
        print_summary(report);
    const bool written = write_file(value.html, html_page(report)) &&
                         write_file(value.json, to_json(report).dump(2) + "\n");
    if (!written)
        return exit_not_written;
    return report.entries == 0 ? exit_no_answer : exit_ok;
}
