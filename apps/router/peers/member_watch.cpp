#include "peers/member_watch.hpp"

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

member_watch::member_watch(io::event_loop& loop, knowledge& known,
                           router_metrics& metrics, router_log& log,
                           random_engine random, monitor_callbacks callbacks)
    : loop_(loop), known_(known), metrics_(metrics), log_(log),
      callbacks_(std::move(callbacks)), detector_({}, random),
      timer_(loop, [this] { advance(); })
{
}

void member_watch::start()
{
    timer_.start_every(advance_interval);
}

void member_watch::advance()
{
    execute(detector_.advance(known_.members, loop_.now()));
}

void member_watch::execute(const std::vector<detector_action>& actions)
{
    for (const auto& each : actions) {
        if (const auto* probe = std::get_if<send_probe>(&each)) {
            callbacks_.probe(probe->to);
            continue;
        }
        if (const auto* doubt = std::get_if<send_doubt>(&each)) {
            const json message = {
                {"doubt", to_message(doubt->about, doubt->incarnation)},
                {"by", known_.members.self().name.value}};
            for (const auto& helper : doubt->to)
                callbacks_.send(helper, message);
            continue;
        }
        const auto& death = std::get<send_death>(each);
        callbacks_.send_to_all(
            {{"dead", to_message(death.about, death.incarnation)}});
        record_death(death.about);
    }
}

void member_watch::record_death(const entry_id& name)
{
    metrics_.count_member_death();
    log_.request(io::log_level::warning, "member_dead", {{"peer", name.value}});
}

bool member_watch::is_detector_message(const json& message)
{
    return message.contains("doubt") || message.contains("dead");
}

void member_watch::handle(const json& message)
{
    const auto now = loop_.now();
    if (message.contains("doubt")) {
        const auto about = parse_identity(message.at("doubt"));
        const entry_id by{parse_name(message.at("by"))};
        execute(detector_.on_doubt(about.name, about.incarnation, by,
                                   known_.members, now));
        return;
    }
    const auto about = parse_identity(message.at("dead"));
    const auto& self = known_.members.self();
    if (about.name == self.name) {
        if (about.incarnation == self.incarnation)
            callbacks_.refute();
        return;
    }
    if (known_.members.on_dead(about.name, about.incarnation, now))
        record_death(about.name);
}

} // namespace vanillapost::router
