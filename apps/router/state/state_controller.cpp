#include "state/state_controller.hpp"

#include "state/rate_limit_messages.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// After this time without asking, the store may be back.
constexpr duration access_memory = 5s;
/// Row of the member table with all members.
constexpr std::string_view member_list_key = "list";
/// As base64 it fits into a row of 64 KiB.
constexpr std::size_t max_member_list_bytes = 48 * 1024;
constexpr std::string_view from_store;
/// Part of the time for which leaving targets go on serving.
constexpr double late_share = 0.25;
constexpr duration refresh_delay = 20ms;
/// A platform that has just started has no rows to tell yet.
constexpr duration read_once_interval = 2s;

} // namespace

state_controller::state_controller(io::event_loop& loop, io::row_store& store,
                                   const platform_language& language,
                                   knowledge& known, router_metrics& metrics,
                                   router_log& log, random_engine random,
                                   duration drain_time,
                                   change_handler on_change)
    : loop_(loop), store_(store), late_after_(scaled(drain_time, late_share)),
      language_(language), known_(known), metrics_(metrics), log_(log),
      on_change_(std::move(on_change)),
      removal_timer_(loop, [this] { finish_target_rows(); }),
      refresh_timer_(loop, [this] { finish_target_rows(); }),
      alive_(std::make_shared<bool>(true))
{
    operators_.rows_stand_alone = language.rows.operator_rows_stand_alone;
    operators_.take = &state_controller::take_operator_rows;
    targets_.take = &state_controller::take_target_rows;
    set_up(shared_table::operators, language.rows.operator_table, store,
           random_engine(random()));
    if (!language.rows.target_table.empty())
        set_up(shared_table::targets, language.rows.target_table, store,
               random_engine(random()));
}

void state_controller::set_up(shared_table which, const std::string& name,
                              io::row_store& store, random_engine random)
{
    auto& made = table_of(which);
    made.name = name;
    io::table_follower_handlers handlers;
    handlers.on_read = [this, which](const std::vector<io::store_row>& rows,
                                     std::uint64_t revision) {
        note_access(true);
        apply(which, {0, revision, true, false, rows}, from_store);
    };
    handlers.on_changed = [this, which](const std::vector<io::store_row>& rows,
                                        std::uint64_t after) {
        note_access(true);
        std::uint64_t newest = 0;
        for (const auto& row : rows)
            newest = std::max(newest, row.revision);
        apply(which, {after, newest, false, false, rows}, from_store);
    };
    handlers.on_lost = [this, which](const io::store_failure& failure) {
        note_access(false);
        log_.state(io::log_level::warning, "store_lost",
                   {{"table", table_of(which).name}, {"reason", failure.what}});
    };
    handlers.on_back = [this, which] {
        note_access(true);
        const auto now = loop_.now();
        if (which == shared_table::targets && outage_.may_be_outage(now))
            known_.targets.on_list_back(now);
        log_.state(io::log_level::info, "store_back",
                   {{"table", table_of(which).name}});
    };
    made.follower = std::make_unique<io::table_follower>(
        loop_, store, name, io::table_follower_settings{}, random,
        std::move(handlers));
}

void state_controller::follow_store()
{
    if (following_)
        return;
    following_ = true;
    tried_at_ = loop_.now();
    works_ = true;
    log_.state(io::log_level::info, "follows_store",
               {{"operators", std::to_string(operators_.state.revision())},
                {"targets", std::to_string(targets_.state.revision())}});
    for (const auto* each : followed_tables())
        each->follower->start(each->state.revision());
}

void state_controller::read_once()
{
    const auto now = loop_.now();
    if (following_ || now < read_once_at_ + read_once_interval)
        return;
    read_once_at_ = now;
    tried_at_ = now;
    works_ = true;
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
        tried_at_ && (following_ || loop_.now() - *tried_at_ < access_memory);
    const bool confirmed =
        std::ranges::all_of(followed_tables(), [](const auto* each) {
            return each->follower->is_confirmed();
        });
    if (!recent || (following_ && works_ && !confirmed))
        return store_access::untried;
    return works_ ? store_access::works : store_access::lost;
}

void state_controller::note_access(bool works)
{
    tried_at_ = loop_.now();
    works_ =
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

json state_controller::tell_members() const
{
    json members = json::array({to_json(known_.members.self())});
    for (const auto& peer : known_.members.live_peers(loop_.now())) {
        auto told = to_json(peer.who);
        told["heartbeat"] = to_json(peer.heartbeat);
        members.push_back(std::move(told));
    }
    return members;
}

json state_controller::difference(const state_revisions& known,
                                  bool with_members) const
{
    auto targets = targets_.state.since(known.targets);
    fill_in(shared_table::targets, targets);
    auto operators = operators_.state.since(known.operators);
    fill_in(shared_table::operators, operators);
    return {{"operators", to_message(operators)},
            {"targets", to_message(targets)},
            {"members", with_members ? tell_members() : json::array()},
            {"limits", with_members
                           ? format_rate_limits(known_.targets.limits().all())
                           : json::array()}};
}

// What a peer is told beside the rows.
void state_controller::fill_in(shared_table which, state_difference& told) const
{
    const auto now = loop_.now();
    told.age = table_of(which).clock.age(told.revision, now);
    if (which != shared_table::targets)
        return;
    told.relist_left = known_.targets.relist_left(now);
    told.after_outage = told.relist_left > duration::zero();
}

std::vector<revision_span> state_controller::gaps(shared_table which) const
{
    const auto& table = table_of(which);
    if (table.state.revision() == 0)
        return {};
    return table.state.gaps(table.clock.newest());
}

std::vector<state_difference>
state_controller::within(shared_table which,
                         std::span<const revision_span> spans) const
{
    auto result = table_of(which).state.within(spans);
    for (auto& each : result)
        fill_in(which, each);
    return result;
}

void state_controller::merge(const json& difference, std::string_view peer)
{
    try {
        merge(shared_table::operators,
              parse_state_difference(difference.at("operators")), peer);
        merge(shared_table::targets,
              parse_state_difference(difference.at("targets")), peer);
        add_listed_members(difference.at("members"));
        // Peers of earlier versions tell none.
        if (difference.contains("limits"))
            take_rate_limits(difference.at("limits"), peer, known_, log_,
                             loop_.now());
    } catch (const json::exception& failure) {
        throw error("read state", "", failure.what());
    }
}

void state_controller::add_member(const json& document)
{
    known_.members.on_known(parse_member(document), loop_.now());
}

void state_controller::add_listed_members(const json& list)
{
    for (const auto& each : list) {
        try {
            add_listed_member(each);
        } catch (const error& failure) {
            report("members_unreadable", "", failure.what());
        }
    }
}

// A peer also tells what it last heard of each.
void state_controller::add_listed_member(const json& document)
{
    const auto who = parse_member(document);
    if (!document.contains("heartbeat")) {
        known_.members.on_listed(who, loop_.now());
        return;
    }
    const auto heartbeat = parse_member_heartbeat(document.at("heartbeat"));
    known_.members.on_told(who, heartbeat, loop_.now());
}

bool state_controller::knows_newest()
{
    const bool reads_store = following_ && access() == store_access::works;
    freshness_.update(operators_.state.revision(), reads_store,
                      known_.members.live_peers(loop_.now()));
    return freshness_.is_fresh();
}

bool state_controller::merge(shared_table which,
                             const state_difference& difference,
                             std::string_view peer)
{
    auto& table = table_of(which);
    table.clock.note(difference.revision, loop_.now() - difference.age);
    const bool follows = table.state.follows(difference);
    if (!follows && !table.rows_stand_alone) {
        metrics_.count_change(table.name, "missing_before");
        return false;
    }
    const bool is_new = apply(which, difference, peer);
    metrics_.count_change(table.name, !is_new   ? "known"
                                      : follows ? "taken"
                                                : "taken_early");
    return is_new;
}

void state_controller::note_known(const state_revisions& told)
{
    operators_.clock.note(told.operators, loop_.now());
    targets_.clock.note(told.targets, loop_.now());
}

bool state_controller::is_late(duration limit) const
{
    return std::ranges::any_of(followed_tables(), [&](const auto* each) {
        const auto known = each->state.revision();
        const auto since = each->clock.missing_since(known);
        return known == 0 || (since && loop_.now() - *since >= limit);
    });
}

void state_controller::watch_lateness()
{
    const auto now = loop_.now();
    for (auto* each : {&operators_, &targets_}) {
        const auto known = each->state.revision();
        const auto since = each->clock.missing_since(known);
        const auto late = since ? now - *since : duration::zero();
        metrics_.set_lateness(each->name, late);
        if (known == 0 || late < late_after_ ||
            std::exchange(each->told_late, true))
            continue;
        log_.request(io::log_level::warning, "changes_late",
                     {{"table", each->name},
                      {"revision", std::to_string(known)},
                      {"newest", std::to_string(each->clock.newest())},
                      {"late_ms", std::to_string(to_ms(late))}});
    }
}

void state_controller::note_caught_up(table& each, std::string_view peer)
{
    const auto known = each.state.revision();
    if (!each.told_late || each.clock.missing_since(known))
        return;
    each.told_late = false;
    log_.request(io::log_level::info, "changes_caught_up",
                 {{"table", each.name},
                  {"revision", std::to_string(known)},
                  {"from", peer == from_store ? "store" : std::string(peer)}});
}

bool state_controller::apply(shared_table which,
                             const state_difference& difference,
                             std::string_view peer)
{
    auto& table = table_of(which);
    const bool is_own = peer == from_store;
    const auto now = loop_.now();
    const auto before = table.state.revision();
    if (which == shared_table::targets)
        note_outage(difference, is_own);
    const auto changed = table.state.apply(difference, now);
    if (is_own)
        table.clock.note(table.state.revision(), now);
    note_caught_up(table, peer);
    if (changed.empty())
        return false;
    metrics_.observe_change_delay(table.name,
                                  table.clock.age(difference.revision, now));
    note_taken(table, before, changed.size(), peer);
    if (which == shared_table::targets)
        outage_.on_news(now);
    (this->*table.take)(changed);
    if (is_own)
        pass_on(which, difference, before, changed);
    return true;
}

// Who finds the store lost knows of an outage without being told.
void state_controller::note_outage(const state_difference& difference,
                                   bool is_own)
{
    const auto now = loop_.now();
    known_.targets.on_told_relisting(difference.relist_left, now);
    if (!is_own && access() == store_access::lost &&
        outage_.may_be_outage(now) && !known_.targets.is_relisting(now))
        known_.targets.on_list_back(now);
}

// Rows that came early are among those that peers may lack. Of a whole table
// only the rows are passed on: others came and went before it.
void state_controller::pass_on(shared_table which, const state_difference& read,
                               std::uint64_t before,
                               const std::vector<io::store_row>& changed)
{
    state_difference told{std::max(before, read.after), read.revision, false,
                          false, changed};
    if (read.whole) {
        told.after = told.revision;
    } else {
        told.rows = read.rows;
        std::erase_if(told.rows, [&](const io::store_row& row) {
            return row.revision <= told.after;
        });
    }
    fill_in(which, told);
    on_change_(which, told);
}

void state_controller::note_taken(const table& taken, std::uint64_t before,
                                  std::size_t rows, std::string_view peer)
{
    log_.request(io::log_level::info, "rows_taken",
                 {{"table", taken.name},
                  {"from", peer == from_store ? "store" : std::string(peer)},
                  {"after", std::to_string(before)},
                  {"revision", std::to_string(taken.state.revision())},
                  {"rows", std::to_string(rows)}});
}

void state_controller::take_operator_rows(
    const std::vector<io::store_row>& changed)
{
    auto change = language_.rows.read_operator_rows(changed);
    for (const auto& each : change.unreadable)
        report_unreadable(operators_, "configuration_unreadable", each.key,
                          each.reason);
    if (change.config)
        adopt(std::move(*change.config));
    if (change.targets)
        take_targets(std::move(*change.targets));
    take_evacuated(std::move(change.evacuated));
}

// Operators may name a target before its service, so all are looked at again.
void state_controller::take_targets(std::vector<listed_target> targets)
{
    const auto now = loop_.now();
    known_.targets.replace(std::move(targets), now);
    known_.refresh_targets(now);
}

void state_controller::adopt(configuration config)
{
    const auto version = config.version;
    if (known_.adopt(std::move(config), loop_.now()))
        log_.state(io::log_level::info, "configuration_adopted",
                   {{"version", std::to_string(version)},
                    {"revision", std::to_string(operators_.state.revision())}});
}

void state_controller::take_evacuated(std::set<data_centre_id> evacuated)
{
    if (evacuated == known_.targets.evacuated())
        return;
    std::string names;
    for (const auto& each : evacuated)
        names += (names.empty() ? "" : ",") + each.value;
    log_.state(io::log_level::info, "data_centres_evacuated",
               {{"data_centres", names}});
    known_.targets.set_evacuated(std::move(evacuated));
    known_.refresh_targets(loop_.now());
}

void state_controller::take_target_row(const io::store_row& row)
{
    const target_id id{row.key};
    const auto now = loop_.now();
    if (row.removed) {
        remove_target(row);
        return;
    }
    try {
        if (!known_.targets.put(language_.rows.read_target(row.key, row.value)))
            log_.state(io::log_level::info, "target_report_outdated",
                       {{"target", row.key},
                        {"revision", std::to_string(row.revision)}});
    } catch (const std::exception& failure) {
        report_unreadable(targets_, "target_unreadable", row.key,
                          failure.what());
        known_.targets.remove(id, now);
    }
}

void state_controller::remove_target(const io::store_row& row)
{
    const auto now = loop_.now();
    known_.targets.remove({row.key}, now);
    const auto* held = known_.targets.find({row.key});
    if (!held)
        return;
    metrics_.count_held_removal();
    log_.request(
        io::log_level::info, "target_removal_held",
        {{"target", row.key}, {"revision", std::to_string(row.revision)}});
}

void state_controller::take_target_rows(
    const std::vector<io::store_row>& changed)
{
    for (const auto& row : changed)
        take_target_row(row);
    // Changes come in many messages, and a refresh looks at all targets.
    if (!std::exchange(refresh_is_due_, true))
        refresh_timer_.start_once(refresh_delay);
}

void state_controller::finish_target_rows()
{
    const auto now = loop_.now();
    refresh_is_due_ = false;
    known_.targets.advance(now);
    known_.refresh_targets(now);
    known_.set_targets_revision(targets_.state.revision());
    if (const auto next = known_.targets.next_removal())
        removal_timer_.start_once(std::max<duration>(*next - now, 1ms));
}

void state_controller::read_members()
{
    store_.read(language_.rows.member_table, "",
                [this, alive = alive_](io::store_result result) {
                    if (!*alive)
                        return;
                    if (const auto* rows = std::get_if<io::store_rows>(&result))
                        take_member_rows(rows->rows);
                    else
                        report("members_not_read", "",
                               std::get<io::store_failure>(result).what);
                });
}

void state_controller::take_member_rows(const std::vector<io::store_row>& rows)
{
    for (const auto& row : rows) {
        const auto list = json::parse(row.value, nullptr, false);
        if (list.is_array())
            add_listed_members(list);
        else
            report("members_unreadable", row.key, "not a list");
    }
}

void state_controller::write_members()
{
    std::vector<member> others;
    for (const auto& peer : known_.members.live_peers(loop_.now()))
        others.push_back(peer.who);
    store_.put(language_.rows.member_table, member_list_key,
               format_member_list(known_.members.self(), others,
                                  max_member_list_bytes),
               [this, alive = alive_](const io::store_result& result) {
                   const auto* failure =
                       std::get_if<io::store_failure>(&result);
                   if (*alive && failure)
                       report("members_not_written", "", failure->what);
               });
}

void state_controller::report_unreadable(const table& from,
                                         std::string_view event,
                                         const std::string& key,
                                         std::string_view reason)
{
    metrics_.count_unreadable_row(from.name);
    report(event, key, reason);
}

void state_controller::report(std::string_view event, const std::string& key,
                              std::string_view reason)
{
    log_.request(io::log_level::warning, event,
                 {{"key", key}, {"reason", std::string(reason)}});
}

} // namespace vanillapost::router
