#include "../../platform/adapter.hpp"
#include "../../platform/store_client.hpp"
#include "adapters/records_adapter.hpp"
#include "router_server.hpp"

#include "vanillapost/records.hpp"

#include "vanillapost/src/io/table_rows.hpp"
#include "vanillapost/src/io/text_file.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

namespace {

using namespace vanillapost;

constexpr int exit_bad_settings = 1;
constexpr int exit_failed = 2;
constexpr std::string_view settings_step = "read settings";

// Has to differ between processes, since it also identifies an incarnation.
std::uint64_t make_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

/// How often the settings file is checked: it may change without a signal.
constexpr duration settings_interval = std::chrono::seconds(2);

/// Applies the settings file whenever its text has changed.
class settings_watch
{
public:
    /// \param defaults  for optional fields that are missing
    settings_watch(io::event_loop& loop, std::string file,
                   const router::router_settings& defaults,
                   router::router_server& server)
        : file_(std::move(file)), defaults_(defaults), server_(server),
          text_(io::read_text_file(file_, settings_step)),
          timer_(loop, [this] { check(); })
    {
        timer_.start_every(settings_interval);
    }

    void check()
    {
        try {
            auto text = io::read_text_file(file_, settings_step);
            if (text == text_)
                return;
            text_ = std::move(text);
            server_.apply(
                router::parse_router_settings(text_, file_, defaults_));
        } catch (const std::exception& failure) {
            io::log(io::log_level::warning, "settings_not_applied",
                    {{"file", file_}, {"reason", failure.what()}});
        }
    }

private:
    std::string file_;
    router::router_settings defaults_;
    router::router_server& server_;
    std::string text_;
    io::timer timer_;
};

// Rejects a target at this router's own address: a request sent there would
// arrive here again, in a loop.
void reject_own_address(router::platform_adapter& adapter,
                        const io::address& own)
{
    adapter.rows.read_target = [read = std::move(adapter.rows.read_target),
                                own](std::string_view key,
                                     std::string_view text) {
        auto target = read(key, text);
        if (io::parse_address(target.address) == own)
            throw error("decode target", key,
                        "it names this router's own address");
        return target;
    };
}

router::platform_parts make_platform(io::event_loop& loop,
                                     const router::router_settings& settings,
                                     std::uint64_t seed)
{
    router::platform_parts parts;
    if (settings.platform == router::platform_kind::rows) {
        parts.adapter = platform::make_platform_adapter();
        reject_own_address(parts.adapter, settings.caller_address);
        parts.store = std::make_unique<platform::store_client>(
            loop, settings.platform_address);
        return parts;
    }
    parts.adapter = router::make_records_adapter();
    parts.table = std::make_unique<io::platform_client>(
        loop, settings.platform_address, settings.name);
    parts.store = std::make_unique<io::table_rows>(
        loop, *parts.table, settings.name + "/" + std::to_string(seed));
    return parts;
}

void serve(io::event_loop& loop, const router::router_settings& settings,
           const std::string& file, const router::router_settings& defaults)
{
    const auto seed = make_seed();
    auto parts = make_platform(loop, settings, seed);
    router::router_server server(loop, settings, parts, seed);
    settings_watch watch(loop, file, defaults, server);
    loop.on_signal(SIGTERM, [&] { server.leave(); });
    loop.on_signal(SIGINT, [&] { server.leave(); });
    loop.on_signal(SIGHUP, [&] { watch.check(); });
    server.start();
    loop.run();
}

void run(const router::router_settings& settings, const std::string& file,
         const router::router_settings& defaults)
{
    io::start_log("vanillapost-router", settings.name, settings.log_level,
                  io::log_output::standard_output);
    io::event_loop loop;
    try {
        serve(loop, settings, file, defaults);
    } catch (const std::exception& failure) {
        io::log(io::log_level::error, "ended_by_failure",
                {{"reason", failure.what()}});
        throw;
    }
}

} // namespace

int main(int argc, char** argv)
{
    // By default SIGHUP ends the process. It is ignored until the router can
    // handle it by checking the settings file.
    std::signal(SIGHUP, SIG_IGN);
    CLI::App app("A router of vanillapost: takes requests of callers and sends "
                 "each to a target that can answer now.\n"
                 "Ends on SIGTERM after it has answered what it has read.\n"
                 "Exit codes: 0 ended well, 1 bad settings, 2 failed.");
    std::string file;
    bool check = false;
    router::router_settings defaults;
    app.add_option("--settings", file, "JSON file with the settings")
        ->envname("VANILLAPOST_SETTINGS")
        ->required();
    app.add_option("--memory-limit-mb", defaults.memory_limit_mb,
                   "memory of this process, in 10^6 bytes, if the settings "
                   "do not name it")
        ->envname("VANILLAPOST_MEMORY_LIMIT_MB")
        ->check(CLI::Range(router::min_memory_limit_mb,
                           router::max_memory_limit_mb));
    app.add_option("--descriptor-limit", defaults.descriptor_limit,
                   "descriptors of this process, if the settings do not name "
                   "them; 0 for those that its environment allows")
        ->envname("VANILLAPOST_DESCRIPTOR_LIMIT")
        ->check(CLI::Range(std::int64_t{0}, router::max_descriptor_limit));
    app.add_flag("--check", check, "check the settings and end");
    CLI11_PARSE(app, argc, argv);
    try {
        const auto settings = router::parse_router_settings(
            io::read_text_file(file, settings_step), file, defaults);
        if (!check) {
            run(settings, file, defaults);
            // Skips the destructors of static objects, which would wait for
            // idle threads of log4cplus.
            std::_Exit(0);
        }
        std::cout << file << ": good\n";
        return 0;
    } catch (const field_error& failure) {
        for (const auto& each : failure.problems())
            std::cerr << file << ": " << each.field << ": found " << each.found
                      << ", expected " << each.expected << '\n';
        return exit_bad_settings;
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return exit_failed;
    }
}
