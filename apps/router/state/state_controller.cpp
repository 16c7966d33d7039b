#include "state/state_controller.hpp"

#include "state/rate_limit_messages.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// Without an attempt for this long, the store may be reachable again.
constexpr duration access_lifetime = 5s;
/// Key of the row in the member table that holds all members.
constexpr std::string_view member_list_key = "list";
/// So that the list, as base64, fits into a row of 64 KiB.
constexpr std::size_t max_member_list_bytes = 48 * 1024;
constexpr std::string_view from_store;
/// A table counts as late after this fraction of the drain time, for which
/// leaving targets go on serving.
constexpr double late_fraction = 0.25;
constexpr duration refresh_delay = 20ms;
/// A platform that has just started has no rows yet, so it is read again.
constexpr duration read_once_interval = 2s;

} // namespace

state_controller::state_controller(io::event_loop& loop, io::row_store& store,
                                   const platform_adapter& adapter,
                                   cluster_view& cluster,
                                   router_metrics& metrics, router_log& log,
                                   random_engine random, duration drain_time,
                                   change_handler on_change)
    : loop_(loop), store_(store),
      late_after_(scaled(drain_time, late_fraction)), adapter_(adapter),
      cluster_(cluster), metrics_(metrics), log_(log),
      on_change_(std::move(on_change)),
      removal_timer_(loop, [this] { refresh_placement(); }),
      refresh_timer_(loop, [this] { refresh_placement(); }),
      restored_timer_(loop, [this] { apply_held_rows(); }),
      alive_(std::make_shared<bool>(true))
{
    operators_.rows_are_independent =
        adapter.rows.operator_rows_are_independent;
    operators_.restored =
        restored_rows(adapter.rows.operator_rows_have_versions);
    operators_.apply_rows = &state_controller::apply_operator_rows;
    targets_.apply_rows = &state_controller::apply_target_rows;
    set_up(replicated_table::operators, adapter.rows.operator_table, store,
           random_engine(random()));
    if (!adapter.rows.target_table.empty())
        set_up(replicated_table::targets, adapter.rows.target_table, store,
               random_engine(random()));
}

void state_controller::set_up(replicated_table which, const std::string& name,
                              io::row_store& store, random_engine random)
{
    auto& table = table_of(which);
    table.name = name;
    io::table_follower_handlers handlers;
    handlers.on_read = [this, which](const std::vector<io::store_row>& rows,
                                     std::uint64_t revision) {
        record_access(true);
        apply(which, {0, revision, true, false, rows}, from_store);
    };
    handlers.on_changed = [this, which](const std::vector<io::store_row>& rows,
                                        std::uint64_t after) {
        record_access(true);
        std::uint64_t newest = 0;
        for (const auto& row : rows)
            newest = std::max(newest, row.revision);
        apply(which, {after, newest, false, false, rows}, from_store);
    };
    handlers.on_lost = [this, which](const io::store_failure& failure) {
        record_access(false);
        log_.state(io::log_level::warning, "store_lost",
                   {{"table", table_of(which).name}, {"reason", failure.what}});
    };
    handlers.on_back = [this, which] {
        record_access(true);
        const auto now = loop_.now();
        if (which == replicated_table::targets && outage_.may_be_outage(now))
            cluster_.targets.on_list_restored(now);
        log_.state(io::log_level::info, "store_back",
                   {{"table", table_of(which).name}});
    };
    table.follower = std::make_unique<io::table_follower>(
        loop_, store, name, io::table_follower_settings{}, random,
        std::move(handlers));
}

void state_controller::follow_store()
{
    if (following_)
        return;
    following_ = true;
    store_tried_at_ = loop_.now();
    store_works_ = true;
    log_.state(io::log_level::info, "follows_store",
               {{"operators", revision_text(operators_.state.revision())},
                {"targets", revision_text(targets_.state.revision())}});
    for (const auto* each : followed_tables())
        each->follower->start(each->state.revision());
}

void state_controller::read_once()
{
    const auto now = loop_.now();
    if (following_ || now < read_once_at_ + read_once_interval)
        return;
    read_once_at_ = now;
    store_tried_at_ = now;
    store_works_ = true;
    log_.state(io::log_level::info, "reads_store_once");
    for (const auto* each : followed_tables()) {
        const bool unread =
            each->state.revision() == 0 && !each->follower->is_started();
        if (unread)
            each->follower->read_once();
    }
}

void state_controller::stop_following()
{
    if (!following_)
        return;
    following_ = false;
    log_.state(io::log_level::info, "relies_on_readers");
    for (const auto* each : followed_tables())
        each->follower->stop();
}

store_access state_controller::access() const
{
    const bool recent =
        store_tried_at_ &&
        (following_ || loop_.now() - *store_tried_at_ < access_lifetime);
    const bool confirmed =
        std::ranges::all_of(followed_tables(), [](const auto* each) {
            return each->follower->is_confirmed();
        });
    if (!recent || (following_ && store_works_ && !confirmed))
        return store_access::untried;
    return store_works_ ? store_access::works : store_access::lost;
}

void state_controller::record_access(bool works)
{
    store_tried_at_ = loop_.now();
    store_works_ =
        works && std::ranges::all_of(followed_tables(), [](const auto* each) {
            return each->follower->is_reachable();
        });
}

state_revisions state_controller::revisions() const
{
    return {operators_.state.revision(), targets_.state.revision()};
}

bool state_controller::is_complete() const
{
    return std::ranges::all_of(followed_tables(), [](const auto* each) {
        return each->state.revision() > 0;
    });
}

json state_controller::members_to_json() const
{
    json members = json::array({to_json(cluster_.members.self())});
    for (const auto& peer : cluster_.members.live_peers(loop_.now())) {
        auto described = to_json(peer.who);
        described["heartbeat"] = to_json(peer.heartbeat);
        members.push_back(std::move(described));
    }
    return members;
}

json state_controller::difference(const state_revisions& known,
                                  bool with_members) const
{
    auto targets = targets_.state.since(known.targets);
    add_timing(replicated_table::targets, targets);
    auto operators = operators_.state.since(known.operators);
    add_timing(replicated_table::operators, operators);
    return {{"operators", to_message(operators)},
            {"targets", to_message(targets)},
            {"members", with_members ? members_to_json() : json::array()},
            {"limits", with_members
                           ? format_rate_limits(cluster_.targets.limits().all())
                           : json::array()}};
}

// Sets what a peer is told beside the rows: the age of the newest change, and
// for how long removed targets may register again.
void state_controller::add_timing(replicated_table which,
                                  state_difference& difference) const
{
    const auto now = loop_.now();
    difference.age = table_of(which).clock.age(difference.revision, now);
    if (which != replicated_table::targets)
        return;
    difference.relist_left = cluster_.targets.relist_left(now);
    difference.after_outage = difference.relist_left > duration::zero();
}

std::vector<revision_span> state_controller::gaps(replicated_table which) const
{
    const auto& table = table_of(which);
    if (table.state.revision() == 0)
        return {};
    return table.state.gaps(table.clock.newest());
}

std::vector<state_difference>
state_controller::changes_within(replicated_table which,
                                 std::span<const revision_span> spans) const
{
    auto result = table_of(which).state.changes_within(spans);
    for (auto& each : result)
        add_timing(which, each);
    return result;
}

void state_controller::merge(const json& difference, std::string_view peer)
{
    try {
        merge(replicated_table::operators,
              parse_state_difference(difference.at("operators")), peer);
        merge(replicated_table::targets,
              parse_state_difference(difference.at("targets")), peer);
        add_listed_members(difference.at("members"));
        // Peers of earlier versions send no rate limits.
        if (difference.contains("limits"))
            apply_rate_limits(difference.at("limits"), peer, cluster_, log_,
                              loop_.now());
    } catch (const json::exception& failure) {
        throw error("read state", "", failure.what());
    }
}

void state_controller::add_member(const json& document)
{
    cluster_.members.on_identity(parse_member(document), loop_.now());
}

void state_controller::add_listed_members(const json& list)
{
    for (const auto& each : list) {
        try {
            add_listed_member(each);
        } catch (const error& failure) {
            log_failure("members_unreadable", "", failure.what());
        }
    }
}

// A peer's list also holds the last heartbeat of each member.
void state_controller::add_listed_member(const json& document)
{
    const auto who = parse_member(document);
    if (!document.contains("heartbeat")) {
        cluster_.members.on_listed(who, loop_.now());
        return;
    }
    const auto heartbeat = parse_member_heartbeat(document.at("heartbeat"));
    cluster_.members.on_peer_report(who, heartbeat, loop_.now());
}

bool state_controller::has_newest_configuration()
{
    const bool reads_store = following_ && access() == store_access::works;
    freshness_.update(operators_.state.revision(), reads_store,
                      cluster_.members.live_peers(loop_.now()));
    return freshness_.is_fresh();
}

bool state_controller::merge(replicated_table which,
                             const state_difference& difference,
                             std::string_view peer)
{
    auto& table = table_of(which);
    table.clock.note(difference.revision, loop_.now() - difference.age);
    const bool follows = table.state.follows(difference);
    if (!follows && !table.rows_are_independent) {
        metrics_.count_change(table.name, "missing_before");
        return false;
    }
    const bool is_new = apply(which, difference, peer);
    metrics_.count_change(table.name, !is_new   ? "known"
                                      : follows ? "taken"
                                                : "taken_early");
    return is_new;
}

void state_controller::on_peer_revisions(const state_revisions& revisions)
{
    operators_.clock.note(revisions.operators, loop_.now());
    targets_.clock.note(revisions.targets, loop_.now());
}

bool state_controller::is_late(duration limit) const
{
    return std::ranges::any_of(followed_tables(), [&](const auto* each) {
        const auto known = each->state.revision();
        const auto since = each->clock.missing_since(known);
        return known == 0 || (since && loop_.now() - *since >= limit);
    });
}

void state_controller::report_lateness()
{
    const auto now = loop_.now();
    for (auto* each : {&operators_, &targets_}) {
        const auto known = each->state.revision();
        const auto since = each->clock.missing_since(known);
        const auto late = since ? now - *since : duration::zero();
        metrics_.set_lateness(each->name, late);
        if (known == 0 || late < late_after_ ||
            std::exchange(each->lateness_reported, true))
            continue;
        log_.request(io::log_level::warning, "changes_late",
                     {{"table", each->name},
                      {"revision", revision_text(known)},
                      {"newest", revision_text(each->clock.newest())},
                      {"late_ms", std::to_string(to_ms(late))}});
    }
}

void state_controller::log_caught_up(table& each, std::string_view peer)
{
    const auto known = each.state.revision();
    if (!each.lateness_reported || each.clock.missing_since(known))
        return;
    each.lateness_reported = false;
    log_.request(io::log_level::info, "changes_caught_up",
                 {{"table", each.name},
                  {"revision", revision_text(known)},
                  {"from", peer == from_store ? "store" : std::string(peer)}});
}

bool state_controller::apply(replicated_table which,
                             const state_difference& difference,
                             std::string_view peer)
{
    auto& table = table_of(which);
    const bool is_from_store = peer == from_store;
    const auto now = loop_.now();
    const auto before = table.state.revision();
    if (which == replicated_table::targets)
        update_relisting(difference, is_from_store);
    const bool restored = is_restored(table, difference);
    const auto known =
        restored ? table.state.rows() : restored_rows::rows_by_key();
    const auto changed = table.state.apply(difference, now);
    if (is_from_store)
        table.clock.note(table.state.revision(), now);
    if (is_from_store && changed.empty() && !difference.rows.empty())
        log_ignored_rows(table, difference, before);
    log_caught_up(table, peer);
    if (restored)
        log_restored(table, before, peer);
    if (changed.empty())
        return false;
    metrics_.observe_change_delay(table.name,
                                  table.clock.age(difference.revision, now));
    log_applied_rows(table, before, changed.size(), peer);
    if (which == replicated_table::targets)
        outage_.on_change_received(now);
    if (restored) {
        (this->*table.apply_rows)(table.restored.hold(changed, known, now));
        apply_held_rows();
    } else {
        table.restored.on_changed(changed);
        (this->*table.apply_rows)(changed);
    }
    if (is_from_store)
        notify_change(which, difference, before, restored, changed);
    return true;
}

// Of a table of which nothing was known, nothing can be contradicted.
bool state_controller::is_restored(const table& of,
                                   const state_difference& difference)
{
    const auto known = of.state.revision();
    const bool is_later = epoch_of(difference.revision) > epoch_of(known);
    return known > 0 && (difference.restored || (difference.whole && is_later));
}

// A peer may tell rows of a restored store before all of its copy is known.
void state_controller::log_restored(const table& of, std::uint64_t before,
                                    std::string_view peer)
{
    const auto now = of.state.revision();
    if (epoch_of(now) == epoch_of(before))
        return;
    log_.state(io::log_level::warning, "store_restored",
               {{"table", of.name},
                {"from", peer == from_store ? "store" : std::string(peer)},
                {"known", revision_text(before)},
                {"revision", revision_text(now)}});
}

// Applies the held rows that are due, and waits for the next ones.
void state_controller::apply_held_rows()
{
    const auto now = loop_.now();
    std::optional<time_point> next;
    for (auto* each : {&operators_, &targets_}) {
        const auto due = each->restored.take_due(now);
        if (!due.empty()) {
            log_.state(
                io::log_level::info, "held_rows_taken",
                {{"table", each->name}, {"rows", std::to_string(due.size())}});
            (this->*each->apply_rows)(due);
        }
        if (const auto other = each->restored.next_due())
            next = std::min(next.value_or(*other), *other);
    }
    if (next)
        restored_timer_.start_once(std::max<duration>(*next - now, 1ms));
}

bool state_controller::lacks_restored_copy() const
{
    return std::ranges::any_of(followed_tables(), [](const auto* each) {
        const auto known = each->state.revision();
        return known > 0 && epoch_of(each->clock.newest()) > epoch_of(known);
    });
}

std::uint64_t state_controller::store_epoch() const
{
    return std::max(epoch_of(operators_.state.revision()),
                    epoch_of(targets_.state.revision()));
}

// An instance that cannot reach the store detects an outage itself, without
// being told by a peer.
void state_controller::update_relisting(const state_difference& difference,
                                        bool is_from_store)
{
    const auto now = loop_.now();
    cluster_.targets.on_relisting_relayed(difference.relist_left, now);
    if (!is_from_store && access() == store_access::lost &&
        outage_.may_be_outage(now) && !cluster_.targets.is_relisting(now))
        cluster_.targets.on_list_restored(now);
}

// Relays changes that were read from the store. Rows that arrived here before,
// beyond a gap, are included, since peers may lack them. Of a whole table only
// the changed rows are relayed, without a claim to completeness: it does not
// show rows that were added and removed in between.
void state_controller::notify_change(replicated_table which,
                                     const state_difference& read_change,
                                     std::uint64_t before, bool restored,
                                     const std::vector<io::store_row>& changed)
{
    state_difference relayed{std::max(before, read_change.after),
                             read_change.revision, false, false, changed};
    if (read_change.whole) {
        relayed.after = relayed.revision;
    } else {
        relayed.rows = read_change.rows;
        std::erase_if(relayed.rows, [&](const io::store_row& row) {
            return row.revision <= relayed.after;
        });
    }
    relayed.restored = restored;
    add_timing(which, relayed);
    on_change_(which, relayed);
}

void state_controller::log_applied_rows(const table& changed_table,
                                        std::uint64_t before, std::size_t rows,
                                        std::string_view peer)
{
    log_.request(io::log_level::info, "rows_taken",
                 {{"table", changed_table.name},
                  {"from", peer == from_store ? "store" : std::string(peer)},
                  {"after", revision_text(before)},
                  {"revision", revision_text(changed_table.state.revision())},
                  {"rows", std::to_string(rows)}});
}

// Rows that the store tells are usually new. Ones that are not show a store
// that has gone back, or an answer that was overtaken.
void state_controller::log_ignored_rows(const table& of,
                                        const state_difference& difference,
                                        std::uint64_t known)
{
    log_.request(io::log_level::info, "rows_ignored",
                 {{"table", of.name},
                  {"whole", difference.whole ? "yes" : "no"},
                  {"revision", revision_text(difference.revision)},
                  {"known", revision_text(known)},
                  {"rows", std::to_string(difference.rows.size())}});
}

void state_controller::apply_operator_rows(
    const std::vector<io::store_row>& changed)
{
    auto change = adapter_.rows.read_operator_rows(changed);
    for (const auto& each : change.unreadable)
        log_unreadable_row(operators_, "configuration_unreadable", each.key,
                           each.reason);
    if (change.config)
        adopt(std::move(*change.config));
    if (change.targets)
        replace_targets(std::move(*change.targets));
    apply_evacuations(std::move(change.evacuated));
    if (on_rollouts_)
        on_rollouts_(change.rollouts);
}

// Operators may list a target before its service, so all targets are refreshed.
void state_controller::replace_targets(std::vector<listed_target> targets)
{
    const auto now = loop_.now();
    cluster_.targets.replace(std::move(targets), now);
    cluster_.refresh_targets(now);
}

void state_controller::adopt(configuration config)
{
    const auto version = config.version;
    if (cluster_.adopt(std::move(config), loop_.now()))
        log_.state(io::log_level::info, "configuration_adopted",
                   {{"version", std::to_string(version)},
                    {"revision", revision_text(operators_.state.revision())}});
}

void state_controller::apply_evacuations(std::set<data_centre_id> evacuated)
{
    if (evacuated == cluster_.targets.evacuated())
        return;
    std::string names;
    for (const auto& each : evacuated)
        names += (names.empty() ? "" : ",") + each.value;
    log_.state(io::log_level::info, "data_centres_evacuated",
               {{"data_centres", names}});
    cluster_.targets.set_evacuated(std::move(evacuated));
    cluster_.refresh_targets(loop_.now());
}

void state_controller::apply_target_row(const io::store_row& row)
{
    const target_id id{row.key};
    const auto now = loop_.now();
    if (row.removed) {
        remove_target(row);
        return;
    }
    try {
        if (!cluster_.targets.put(
                adapter_.rows.read_target(row.key, row.value)))
            log_.state(io::log_level::info, "target_report_outdated",
                       {{"target", row.key},
                        {"revision", revision_text(row.revision)}});
    } catch (const std::exception& failure) {
        log_unreadable_row(targets_, "target_unreadable", row.key,
                           failure.what());
        cluster_.targets.remove(id, now);
    }
}

void state_controller::remove_target(const io::store_row& row)
{
    const auto now = loop_.now();
    cluster_.targets.remove({row.key}, now);
    const auto* held = cluster_.targets.find({row.key});
    if (!held)
        return;
    metrics_.count_held_removal();
    log_.request(
        io::log_level::info, "target_removal_held",
        {{"target", row.key}, {"revision", revision_text(row.revision)}});
}

void state_controller::apply_target_rows(
    const std::vector<io::store_row>& changed)
{
    for (const auto& row : changed)
        apply_target_row(row);
    // Changes arrive in many messages, and a refresh visits all targets, so it
    // is delayed to cover several messages.
    if (!std::exchange(refresh_is_due_, true))
        refresh_timer_.start_once(refresh_delay);
}

void state_controller::refresh_placement()
{
    const auto now = loop_.now();
    refresh_is_due_ = false;
    cluster_.targets.advance(now);
    cluster_.refresh_targets(now);
    cluster_.set_targets_revision(targets_.state.revision());
    if (const auto next = cluster_.targets.next_removal())
        removal_timer_.start_once(std::max<duration>(*next - now, 1ms));
}

void state_controller::read_members()
{
    store_.read(adapter_.rows.member_table, "",
                [this, alive = alive_](io::store_result result) {
                    if (!*alive)
                        return;
                    if (const auto* rows = std::get_if<io::store_rows>(&result))
                        apply_member_rows(rows->rows);
                    else
                        log_failure("members_not_read", "",
                                    std::get<io::store_failure>(result).what);
                });
}

void state_controller::apply_member_rows(const std::vector<io::store_row>& rows)
{
    for (const auto& row : rows) {
        const auto list = json::parse(row.value, nullptr, false);
        if (list.is_array())
            add_listed_members(list);
        else
            log_failure("members_unreadable", row.key, "not a JSON array");
    }
}

void state_controller::write_members()
{
    std::vector<member> others;
    for (const auto& peer : cluster_.members.live_peers(loop_.now()))
        others.push_back(peer.who);
    store_.put(adapter_.rows.member_table, member_list_key,
               format_member_list(cluster_.members.self(), others,
                                  max_member_list_bytes),
               [this, alive = alive_](const io::store_result& result) {
                   const auto* failure =
                       std::get_if<io::store_failure>(&result);
                   if (*alive && failure)
                       log_failure("members_not_written", "", failure->what);
               });
}

void state_controller::log_unreadable_row(const table& from,
                                          std::string_view event,
                                          const std::string& key,
                                          std::string_view reason)
{
    metrics_.count_unreadable_row(from.name);
    log_failure(event, key, reason);
}

void state_controller::log_failure(std::string_view event,
                                   const std::string& key,
                                   std::string_view reason)
{
    log_.request(io::log_level::warning, event,
                 {{"key", key}, {"reason", std::string(reason)}});
}

} // namespace vanillapost::router
