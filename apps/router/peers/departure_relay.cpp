#include "peers/departure_relay.hpp"

#include "vanillapost/src/base/error.hpp"

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// A row is with every instance after this time while the store works.
constexpr duration row_time = 1s;
/// Over which those that heard the target spread what they tell.
constexpr duration spread = 1s;
constexpr std::size_t max_told = 50;

} // namespace

departure_relay::departure_relay(io::event_loop& loop, knowledge& known,
                                 router_metrics& metrics, router_log& log,
                                 random_engine random, send_handler send)
    : loop_(loop), known_(known), metrics_(metrics), log_(log), random_(random),
      send_(std::move(send)), timer_(loop, [this] { tell_due(); }),
      lapse_timer_(loop, [this] { known_.refresh_targets(loop_.now()); })
{
}

void departure_relay::on_told(const target_id& id, std::int64_t born)
{
    const auto now = loop_.now();
    const auto due = now + row_time + scaled(spread, draw_share(random_));
    waiting_.insert_or_assign(id, waiting{born, due});
    arm(now);
}

void departure_relay::arm(time_point now)
{
    std::optional<time_point> next;
    for (const auto& [id, each] : waiting_)
        next = std::min(next.value_or(each.due), each.due);
    if (next)
        timer_.start_once(std::max<duration>(*next - now, 1ms));
}

// The row has not told it, and the start that said it is still listed.
bool departure_relay::is_needed(const target_id& id, std::int64_t born) const
{
    const auto* record = known_.targets.find(id);
    return record && !record->draining && record->born_ms <= born;
}

void departure_relay::tell_due()
{
    const auto now = loop_.now();
    json told = json::array();
    for (auto each = waiting_.begin(); each != waiting_.end();) {
        const bool due = each->second.due <= now && told.size() < max_told;
        if (!due) {
            ++each;
            continue;
        }
        if (is_needed(each->first, each->second.born))
            told.push_back(json::array({each->first.value, each->second.born}));
        each = waiting_.erase(each);
    }
    if (!told.empty())
        send_({{"leaving", std::move(told)}});
    arm(now);
}

void departure_relay::take(const json& message)
{
    const auto now = loop_.now();
    const auto& told = message.at("leaving");
    if (!told.is_array() || told.size() > max_told)
        throw error("read departures", "", "not a short list");
    bool changed = false;
    for (const auto& each : told) {
        const target_id id{each.at(0).get<std::string>()};
        const auto born = each.at(1).get<std::int64_t>();
        // One peer has told it for all.
        waiting_.erase(id);
        // Only what is listed: a peer cannot fill the memory of others.
        const auto* record = known_.targets.find(id);
        if (!record || record->born_ms != born ||
            !known_.targets.on_peer_told_leaving(id, born, now))
            continue;
        changed = true;
        metrics_.count_departure("peer");
        log_.request(io::log_level::info, "target_leaves",
                     {{"target", id.value}, {"told_by", "a peer"}});
    }
    if (!changed)
        return;
    known_.refresh_targets(now);
    lapse_timer_.start_once(departure_notes::peer_word_lasts + 1ms);
}

} // namespace vanillapost::router
