#include "commands.hpp"

#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>
#include <random>

namespace {

using namespace vanillapost;
using namespace vanillapost::records_app;

const std::vector<std::string> record_kinds = {"target", "service",
                                               "data_centre", "route"};

struct settings
{
    std::string platform = "127.0.0.1:8001";
    std::string user = "unknown";
    int timeout_ms = 1000;
    int attempts = 6;
    bool dry_run = false;
    bool json = false;
};

struct arguments
{
    std::vector<std::string> files;
    std::string file;
    std::string directory;
    record_name name;
    std::string kind;
    std::optional<revision> at;
    bool current = false;
    bool withdraw_others = false;
};

using action = std::function<command_result(commands&)>;

random_engine seeded_engine()
{
    std::random_device source;
    const auto high = static_cast<std::uint64_t>(source()) << 32;
    return random_engine(high | source());
}

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
    app.add_option("--platform", value.platform,
                   "IP and port of the platform's table service")
        ->envname("VANILLAPOST_PLATFORM")
        ->check(check_address)
        ->capture_default_str();
    app.add_option("--user", value.user,
                   "operator's name, kept with each write")
        ->envname("USER")
        ->capture_default_str();
    app.add_option("--timeout-ms", value.timeout_ms,
                   "longest wait for one answer of the platform")
        ->check(CLI::Range(1, 60'000))
        ->capture_default_str();
    app.add_option("--attempts", value.attempts,
                   "how often a call to the platform is tried")
        ->check(CLI::Range(1, 100))
        ->capture_default_str();
    app.add_flag("--dry-run", value.dry_run,
                 "show what a write would change; write nothing");
    app.add_flag("--json", value.json, "print one JSON document");
}

void add_expected(CLI::App& command, arguments& value)
{
    auto* choice = command.add_option_group("revision");
    choice->add_option("--expect", value.at, "revision that is replaced");
    choice->add_flag("--current", value.current,
                     "replace the revision in force now");
    choice->require_option(1);
}

void add_name(CLI::App& command, arguments& value)
{
    command.add_option("KIND", value.name.kind)
        ->required()
        ->check(CLI::IsMember(record_kinds));
    command.add_option("NAME", value.name.name)->required();
}

void add_writes(CLI::App& app, arguments& value, action& chosen)
{
    auto* put = app.add_subcommand("put", "create records, all or none");
    put->add_option("FILE", value.files)->required();
    put->add_option("--expect", value.at, "revision that is replaced");
    put->callback([&] {
        chosen = [&](commands& run) { return run.put(value.files, value.at); };
    });
    auto* replace = app.add_subcommand("replace", "replace a record");
    replace->add_option("FILE", value.file)->required();
    add_expected(*replace, value);
    replace->callback([&] {
        chosen = [&](commands& run) {
            return run.replace(value.file, {value.at, value.current});
        };
    });
    auto* withdraw = app.add_subcommand("withdraw", "withdraw a record");
    add_name(*withdraw, value);
    add_expected(*withdraw, value);
    withdraw->callback([&] {
        chosen = [&](commands& run) {
            return run.withdraw(value.name, {value.at, value.current});
        };
    });
    auto* apply = app.add_subcommand(
        "apply", "write the records of a directory that differ, all or none");
    apply->add_option("DIR", value.directory)->required();
    apply->add_flag("--withdraw-others", value.withdraw_others,
                    "withdraw records that the directory does not hold");
    apply->callback([&] {
        chosen = [&](commands& run) {
            return run.apply(value.directory, value.withdraw_others);
        };
    });
}

void add_data_centres(CLI::App& app, arguments& value, action& chosen)
{
    const auto add = [&](const char* name, const char* help,
                         service_state state) {
        auto* command = app.add_subcommand(name, help);
        command->add_option("DATA_CENTRE", value.name.name)->required();
        command->callback([&, state] {
            chosen = [&, state](commands& run) {
                return run.set_data_centre(value.name.name, state);
            };
        });
    };
    add("take-out", "give a data centre no new work", service_state::out);
    add("bring-back", "give a data centre work again", service_state::in);
}

void add_reads(CLI::App& app, arguments& value, action& chosen)
{
    auto* list = app.add_subcommand("list", "list the records in force");
    list->add_option("KIND", value.kind)->check(CLI::IsMember(record_kinds));
    list->callback(
        [&] { chosen = [&](commands& run) { return run.list(value.kind); }; });
    auto* show = app.add_subcommand(
        "show", "show one record, its revision and who wrote it");
    add_name(*show, value);
    show->callback(
        [&] { chosen = [&](commands& run) { return run.show(value.name); }; });
    auto* validate_files =
        app.add_subcommand("validate", "check files without the platform");
    validate_files->add_option("FILE", value.files)->required();
    validate_files->callback(
        [&] { chosen = [&](commands&) { return validate(value.files); }; });
    auto* diff =
        app.add_subcommand("diff", "compare files with the records in force");
    diff->add_option("FILE", value.files)->required();
    diff->callback(
        [&] { chosen = [&](commands& run) { return run.diff(value.files); }; });
}

command_result run_action(const settings& value, const action& chosen)
{
    try {
        const retry_limits limits{.attempts = value.attempts};
        table_session session(io::parse_address(value.platform),
                              std::chrono::milliseconds(value.timeout_ms),
                              limits, seeded_engine());
        commands run(session, value.user, value.dry_run, seeded_engine());
        return chosen(run);
    } catch (const read_unavailable& failure) {
        return describe_failure(exit_code::platform_unavailable,
                                failure.what());
    } catch (const error& failure) {
        return describe_failure(exit_code::refused_record, failure.what());
    }
}

int print(const command_result& result, bool json)
{
    if (json)
        std::cout << result.report.dump(2) << "\n";
    else if (result.code == exit_code::done)
        std::cout << result.text;
    else
        std::cerr << result.text;
    return static_cast<int>(result.code);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Writes, replaces and withdraws the records of targets, "
                 "services, data centres and routes.");
    app.footer(std::string(exit_code_help));
    app.require_subcommand(1);
    app.fallthrough();
    settings value;
    arguments given;
    action chosen;
    add_settings(app, value);
    add_writes(app, given, chosen);
    add_data_centres(app, given, chosen);
    add_reads(app, given, chosen);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        constexpr int usage = static_cast<int>(exit_code::usage);
        return app.exit(failure) == 0 ? 0 : usage;
    }
    return print(run_action(value, chosen), value.json);
}
