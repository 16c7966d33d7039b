#include "peers/departure_relay.hpp"

#include "vanillapost/src/base/error.hpp"

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// While the store works, a changed row reaches every instance within this
/// time.
constexpr duration row_propagation_time = 1s;
/// Random delay that spreads the reports of the instances that were told.
constexpr duration max_jitter = 1s;
/// In one message.
constexpr std::size_t max_reports = 50;

} // namespace

departure_relay::departure_relay(io::event_loop& loop, cluster_view& cluster,
                                 router_metrics& metrics, router_log& log,
                                 random_engine random, send_handler send)
    : loop_(loop), cluster_(cluster), metrics_(metrics), log_(log),
      random_(random), send_(std::move(send)),
      timer_(loop, [this] { send_due(); }),
      expiry_timer_(loop, [this] { cluster_.refresh_targets(loop_.now()); })
{
}

void departure_relay::on_target_leaving(const target_id& id,
                                        std::int64_t start_unix_ms)
{
    const auto now = loop_.now();
    const auto due =
        now + row_propagation_time + scaled(max_jitter, draw_share(random_));
    pending_.insert_or_assign(id, pending{start_unix_ms, due});
    schedule_next(now);
}

void departure_relay::schedule_next(time_point now)
{
    std::optional<time_point> next;
    for (const auto& [id, each] : pending_)
        next = std::min(next.value_or(each.due), each.due);
    if (next)
        timer_.start_once(std::max<duration>(*next - now, 1ms));
}

// Whether the target is listed, with no later start than the one that leaves,
// and its row does not say that it leaves.
bool departure_relay::is_needed(const target_id& id,
                                std::int64_t start_unix_ms) const
{
    const auto* record = cluster_.targets.find(id);
    return record && !record->draining &&
           record->start_unix_ms <= start_unix_ms;
}

void departure_relay::send_due()
{
    const auto now = loop_.now();
    json reports = json::array();
    for (auto each = pending_.begin(); each != pending_.end();) {
        const bool due =
            each->second.due <= now && reports.size() < max_reports;
        if (!due) {
            ++each;
            continue;
        }
        if (is_needed(each->first, each->second.start_unix_ms))
            reports.push_back(
                json::array({each->first.value, each->second.start_unix_ms}));
        each = pending_.erase(each);
    }
    if (!reports.empty())
        send_({{"leaving", std::move(reports)}});
    schedule_next(now);
}

void departure_relay::handle(const json& message)
{
    const auto now = loop_.now();
    const auto& reports = message.at("leaving");
    if (!reports.is_array() || reports.size() > max_reports)
        throw error("read departures", "", "not a list, or too many entries");
    bool changed = false;
    for (const auto& each : reports) {
        const target_id id{each.at(0).get<std::string>()};
        const auto start_unix_ms = each.at(1).get<std::int64_t>();
        // Every peer has received this report: this instance need not send its
        // own.
        pending_.erase(id);
        // Only listed targets are noted, so that a peer cannot exhaust the
        // memory of others.
        const auto* record = cluster_.targets.find(id);
        if (!record || record->start_unix_ms != start_unix_ms ||
            !cluster_.targets.on_departure_relayed(id, start_unix_ms, now))
            continue;
        changed = true;
        metrics_.count_departure("peer");
        log_.request(io::log_level::info, "target_leaves",
                     {{"target", id.value}, {"told_by", "a peer"}});
    }
    if (!changed)
        return;
    cluster_.refresh_targets(now);
    expiry_timer_.start_once(departure_tracker::relayed_departure_lifetime +
                             1ms);
}

} // namespace vanillapost::router
