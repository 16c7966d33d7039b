#include "../common/json_http.hpp"
#include "platform_service.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <vanillapost/records.hpp>

namespace {

using namespace vanillapost;
using standin::platform_options;
using standin::platform_service;

constexpr std::size_t max_body_bytes = 8 * 1024 * 1024;

struct command_line
{
    std::string listen = "127.0.0.1:8001";
    std::vector<std::string> records;
    std::int64_t answer_delay_ms = 1;
    platform_options options;
};

void add_options(CLI::App& app, command_line& line)
{
    app.add_option("--listen", line.listen, "Address to listen at")
        ->capture_default_str();
    app.add_option("--load-records", line.records,
                   "Files with one record or a list of them, to start with");
    app.add_option("--answer-delay-ms", line.answer_delay_ms,
                   "Time that each call takes")
        ->capture_default_str();
    app.add_option("--writes-per-second", line.options.writes_per_second,
                   "Writes that the table takes; more wait, then get 503")
        ->capture_default_str();
    app.add_option("--reads-per-second", line.options.reads_per_second,
                   "Reads that the table takes; more wait, then get 503")
        ->capture_default_str();
    app.add_option("--seed", line.options.seed, "Seed of the faults' chances")
        ->capture_default_str();
}

void load_records(platform_service& service, const std::string& path)
{
    auto document = standin::read_json_file(path);
    if (!document.is_array())
        document = nlohmann::json::array({document});
    for (const auto& each : document) {
        const auto parsed = parse_record_document(each, path);
        service.put_record(record_key(parsed), each.dump());
    }
}

void serve(const command_line& line)
{
    io::event_loop loop;
    platform_service service(loop, line.options);
    for (const auto& path : line.records)
        load_records(service, path);
    io::http_server_limits limits;
    limits.max_body_bytes = max_body_bytes;
    io::http_server server(loop, limits, [&service](auto exchange) {
        service.handle(std::move(exchange));
    });
    const auto bound = server.listen(io::parse_address(line.listen));
    std::cout << "listening at " << io::to_string(bound) << std::endl;
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Stand-in for the platform: a transactional table and an "
                 "object store.\n"
                 "Takes faults at POST /control/fault, clears them at POST "
                 "/control/clear and tells what happened at GET "
                 "/control/truth.");
    command_line line;
    add_options(app, line);
    CLI11_PARSE(app, argc, argv);
    line.options.answer_delay = std::chrono::milliseconds(line.answer_delay_ms);
    try {
        serve(line);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return 1;
    }
    return 0;
}
