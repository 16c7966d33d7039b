#include "explanation.hpp"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

namespace {

using namespace vanillapost::explain;
using nlohmann::json;

constexpr int exit_not_found = 1;
constexpr int exit_unreadable = 2;

json to_json(const request_path& path)
{
    json lines = json::array();
    for (const auto& line : path.lines)
        lines.push_back(line.fields);
    return {{"lines", std::move(lines)}, {"cause", path.cause}};
}

json to_json(const std::vector<failure_group>& groups)
{
    json result = json::array();
    for (const auto& each : groups)
        result.push_back({{"service", each.service},
                          {"result", each.result},
                          {"reason", each.reason},
                          {"first", each.first},
                          {"last", each.last},
                          {"count", each.count},
                          {"example", each.example}});
    return result;
}

void print(const request_path& path)
{
    for (const auto& line : path.lines) {
        std::cout << line.time << ' ' << line.instance << ' ' << line.event;
        for (const auto& [name, value] : line.fields.items()) {
            const bool shown = name != "time" && name != "instance" &&
                               name != "message" && name != "program" &&
                               name != "level";
            if (shown && value.is_string())
                std::cout << ' ' << name << "=\"" << value.get<std::string>()
                          << '"';
        }
        std::cout << '\n';
    }
    std::cout << path.cause << '\n';
}

void print(const std::vector<failure_group>& groups)
{
    for (const auto& each : groups)
        std::cout << each.count << ' ' << each.result << " at "
                  << (each.service.empty() ? "(no service)" : each.service)
                  << ": " << each.reason << "; " << each.first << " to "
                  << each.last << ", first " << each.example << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Explains how a request ended, from the logs of routers; "
                 "without an id, groups what failed or was late by cause.\n"
                 "Exit codes: 0 found, 1 nothing found, 2 a file cannot be "
                 "read.");
    std::vector<std::string> files;
    std::string id;
    bool as_json = false;
    app.add_option("files", files, "log files, of any number of instances")
        ->required();
    app.add_option("--request", id, "id of the request");
    app.add_flag("--json", as_json, "print JSON");
    CLI11_PARSE(app, argc, argv);
    log_contents contents;
    for (const auto& file : files) {
        std::ifstream input(file);
        if (!input) {
            std::cerr << file << ": cannot be opened\n";
            return exit_unreadable;
        }
        read_log(input, contents);
    }
    sort_lines(contents);
    if (contents.unreadable > 0)
        std::cerr << contents.unreadable
                  << " lines are not of a router and were left out\n";
    if (id.empty()) {
        const auto groups = group_failures(contents.lines);
        if (as_json)
            std::cout << to_json(groups).dump(2) << '\n';
        else
            print(groups);
        return groups.empty() ? exit_not_found : 0;
    }
    const auto path = find_request(contents.lines, id);
    if (path.lines.empty()) {
        std::cerr << "no line tells of request " << id << '\n';
        return exit_not_found;
    }
    if (as_json)
        std::cout << to_json(path).dump(2) << '\n';
    else
        print(path);
    return 0;
}
