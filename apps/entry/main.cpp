#include "entry_server.hpp"

#include "vanillapost/src/io/text_file.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>
#include <sstream>

namespace {

using namespace vanillapost;

constexpr int exit_bad_settings = 1;
constexpr int exit_failed = 2;
constexpr std::string_view settings_step = "read settings";

/// Unlike the seeded generator of the decisions, no two processes may have
/// the same.
std::string make_incarnation()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device() << device();
    return text.str();
}

entry::entry_settings sample_settings()
{
    entry::entry_settings sample;
    sample.name.value = "entry-1";
    sample.data_centre.value = "munich";
    sample.http_address = {"127.0.0.1", 8101};
    sample.mesh_address = {"127.0.0.1", 8201};
    sample.platform = {"127.0.0.1", 8001};
    return sample;
}

void run(const entry::entry_settings& settings)
{
    io::start_log("vanillapost-entry", settings.name.value, settings.log_level);
    io::event_loop loop;
    entry::entry_server server(loop, settings,
                               {settings.name, make_incarnation()});
    loop.on_signal(SIGTERM, [&] { server.leave(); });
    loop.on_signal(SIGINT, [&] { server.leave(); });
    server.start();
    loop.run();
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("An entry of vanillapost: takes requests of callers and "
                 "places them on targets that can answer now.\n"
                 "Ends on SIGTERM after it has handed over its targets and "
                 "answered every request.\n"
                 "Exit codes: 0 ended well, 1 bad settings, 2 failed.");
    std::string file;
    bool check = false;
    bool print_defaults = false;
    app.add_option("--settings", file, "JSON file with the settings");
    app.add_flag("--check", check, "check the settings and end");
    app.add_flag("--print-defaults", print_defaults,
                 "print settings with every field and end");
    CLI11_PARSE(app, argc, argv);
    if (print_defaults) {
        std::cout << to_json(sample_settings()).dump(2) << '\n';
        return 0;
    }
    entry::entry_settings settings;
    try {
        settings = entry::parse_entry_settings(
            io::read_text_file(file, settings_step), file);
    } catch (const field_error& failure) {
        for (const auto& each : failure.problems())
            std::cerr << file << ": " << each.field << ": found " << each.found
                      << ", expected " << each.expected << '\n';
        return exit_bad_settings;
    } catch (const error& failure) {
        std::cerr << failure.what() << '\n';
        return exit_bad_settings;
    }
    if (check) {
        std::cout << file << ": good\n";
        return 0;
    }
    try {
        run(settings);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return exit_failed;
    }
    return 0;
}
