#include "peers/crash_relay.hpp"

#include "vanillapost/src/base/error.hpp"

#include <utility>

namespace vanillapost::router {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr const char* report_field = "crash";
constexpr const char* trial_field = "crash_trial";
constexpr const char* release_field = "crash_release";
constexpr const char* held_field = "crashes";
constexpr int max_reports_per_second = 50;
/// Bound on what is taken from one message.
constexpr std::size_t max_reports_in_message = 64;
/// After which a message is sent again: one may be lost.
constexpr duration repeat_delay = 50ms;

} // namespace

crash_relay::crash_relay(io::event_loop& loop, send_handler send_to_all)
    : loop_(loop), send_to_all_(std::move(send_to_all)),
      repeat_timer_(loop, [this] { repeat(); })
{
}

bool crash_relay::may_tell()
{
    const auto now = loop_.now();
    if (now - second_began_ >= 1s) {
        second_began_ = now;
        told_ = 0;
    }
    return ++told_ <= max_reports_per_second;
}

void crash_relay::tell(const crash_report& report)
{
    if (!may_tell())
        return;
    send_twice({{report_field, to_json(report)}});
}

void crash_relay::send_twice(json message)
{
    send_to_all_(message);
    if (to_repeat_.empty())
        repeat_timer_.start_once(repeat_delay);
    to_repeat_.push_back(std::move(message));
}

void crash_relay::repeat()
{
    for (const auto& message : std::exchange(to_repeat_, {}))
        send_to_all_(message);
}

void crash_relay::tell_trial(const std::string& request)
{
    send_twice({{trial_field, request}});
}

void crash_relay::tell_release(const std::string& request)
{
    if (!may_tell())
        return;
    send_twice({{release_field, request}});
}

void crash_relay::add_to(json& hello) const
{
    if (!handlers_.held)
        return;
    json reports = json::array();
    for (const auto& report : handlers_.held())
        reports.push_back(to_json(report));
    if (!reports.empty())
        hello[held_field] = std::move(reports);
}

bool crash_relay::is_message(const json& message)
{
    return message.contains(report_field) || message.contains(trial_field) ||
           message.contains(release_field);
}

void crash_relay::handle(const json& message, std::string_view peer)
{
    if (message.contains(trial_field)) {
        handlers_.on_trial(message.at(trial_field).get<std::string>());
        return;
    }
    if (message.contains(release_field)) {
        handlers_.on_release(message.at(release_field).get<std::string>(),
                             peer);
        return;
    }
    if (message.contains(report_field)) {
        handlers_.on_report(parse_crash_report(message.at(report_field)), peer);
        return;
    }
    if (!message.contains(held_field))
        return;
    const auto& reports = message.at(held_field);
    if (!reports.is_array() || reports.size() > max_reports_in_message)
        throw error("read crash reports", "", "not a list, or too many");
    for (const auto& each : reports)
        handlers_.on_report(parse_crash_report(each), peer);
}

} // namespace vanillapost::router
