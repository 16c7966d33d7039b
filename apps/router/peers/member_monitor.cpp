#include "peers/member_monitor.hpp"

#include "vanillapost/src/base/error.hpp"
#include "vanillapost/src/base/text_check.hpp"

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr duration advance_interval = 200ms;

/// A process of a member.
struct member_identity
{
    entry_id name;
    std::string incarnation;
};

std::string parse_name(const json& value)
{
    auto text = value.get<std::string>();
    if (!is_name_text(text))
        throw error("read doubt", "", "invalid name or incarnation");
    return text;
}

json to_message(const entry_id& name, const std::string& incarnation)
{
    return json::array({name.value, incarnation});
}

member_identity parse_identity(const json& pair)
{
    return {{parse_name(pair.at(0))}, parse_name(pair.at(1))};
}

} // namespace

member_monitor::member_monitor(io::event_loop& loop, cluster_view& cluster,
                               router_metrics& metrics, router_log& log,
                               random_engine random,
                               monitor_callbacks callbacks)
    : loop_(loop), cluster_(cluster), metrics_(metrics), log_(log),
      callbacks_(std::move(callbacks)), detector_({}, random),
      timer_(loop, [this] { advance(); })
{
}

void member_monitor::start()
{
    timer_.start_every(advance_interval);
}

void member_monitor::advance()
{
    execute(detector_.advance(cluster_.members, loop_.now()));
}

void member_monitor::execute(const std::vector<detector_action>& actions)
{
    for (const auto& each : actions) {
        if (const auto* probe = std::get_if<send_probe>(&each)) {
            callbacks_.probe(probe->to);
            continue;
        }
        if (const auto* suspicion = std::get_if<send_suspicion>(&each)) {
            const json message = {
                {"doubt", to_message(suspicion->about, suspicion->incarnation)},
                {"by", cluster_.members.self().name.value}};
            for (const auto& helper : suspicion->to)
                callbacks_.send(helper, message);
            continue;
        }
        const auto& death = std::get<broadcast_death>(each);
        callbacks_.send_to_all(
            {{"dead", to_message(death.about, death.incarnation)}});
        record_death(death.about);
    }
}

void member_monitor::record_death(const entry_id& name)
{
    metrics_.count_member_death();
    log_.request(io::log_level::warning, "member_dead", {{"peer", name.value}});
}

bool member_monitor::is_detector_message(const json& message)
{
    return message.contains("doubt") || message.contains("dead");
}

void member_monitor::handle(const json& message)
{
    const auto now = loop_.now();
    if (message.contains("doubt")) {
        const auto about = parse_identity(message.at("doubt"));
        const entry_id by{parse_name(message.at("by"))};
        execute(detector_.on_suspicion(about.name, about.incarnation, by,
                                       cluster_.members, now));
        return;
    }
    const auto about = parse_identity(message.at("dead"));
    const auto& self = cluster_.members.self();
    if (about.name == self.name) {
        if (about.incarnation == self.incarnation)
            callbacks_.refute();
        return;
    }
    if (cluster_.members.on_declared_dead(about.name, about.incarnation, now))
        record_death(about.name);
}

} // namespace vanillapost::router
