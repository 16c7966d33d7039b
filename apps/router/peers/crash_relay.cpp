#include "peers/crash_relay.hpp"

#include "vanillapost/src/base/error.hpp"

namespace vanillapost::router {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr const char* field = "crash";
constexpr int max_reports_per_second = 50;
constexpr std::size_t max_text_bytes = 1024;

std::string read_text(const json& report, const char* name)
{
    auto text = report.at(name).get<std::string>();
    if (text.empty() || text.size() > max_text_bytes)
        throw error("read crash report", name, "empty or too long");
    return text;
}

} // namespace

crash_relay::crash_relay(io::event_loop& loop, send_handler send_to_all)
    : loop_(loop), send_to_all_(std::move(send_to_all))
{
}

void crash_relay::tell(const crash_report& report)
{
    const auto now = loop_.now();
    if (now - second_began_ >= 1s) {
        second_began_ = now;
        told_ = 0;
    }
    if (++told_ > max_reports_per_second)
        return;
    send_to_all_(
        {{field, {{"request", report.request}, {"target", report.target}}}});
}

bool crash_relay::is_report(const json& message)
{
    return message.contains(field);
}

void crash_relay::handle(const json& message, std::string_view peer)
{
    const auto& report = message.at(field);
    const crash_report parsed{read_text(report, "request"),
                              read_text(report, "target")};
    if (handle_)
        handle_(parsed, peer);
}

} // namespace vanillapost::router
