#include "vanillapost/src/members/reader_election.hpp"

#include <algorithm>
#include <xxhash.h>

namespace vanillapost {

namespace {

struct rank
{
    bool lost;
    std::uint64_t weight;

    auto operator<=>(const rank&) const = default;
};

rank rank_of(const entry_id& name, store_access store)
{
    return {store == store_access::lost,
            XXH64(name.value.data(), name.value.size(), 0)};
}

} // namespace

reader_election::reader_election(time_point start,
                                 const reader_election_settings& settings)
    : settings_(settings), start_(start)
{
}

bool reader_election::should_follow(const entry_id& self, store_access store,
                                    const state_revisions& revisions,
                                    std::span<const peer_status> live,
                                    time_point now)
{
    const bool behind = is_behind(revisions, live, now);
    // A peer that has not noticed that the store was restored, or cannot tell,
    // relays changes that nobody can use.
    std::vector<peer_status> useful(live.begin(), live.end());
    std::erase_if(useful, [&](const auto& each) {
        return each.heartbeat.revisions.is_of_earlier_epoch(revisions);
    });
    if (behind || must_follow(self, store, useful, now))
        needed_at_ = now;
    return needed_at_ && now <= *needed_at_ + settings_.release_delay;
}

bool reader_election::must_follow(const entry_id& self, store_access store,
                                  std::span<const peer_status> live,
                                  time_point now) const
{
    const bool settled = now >= start_ + settings_.settling_time;
    if (settled && is_reader(self, store, live))
        return true;
    const bool has_working_reader =
        std::ranges::any_of(live, [&](const auto& each) {
            return each.heartbeat.following &&
                   each.heartbeat.store != store_access::lost &&
                   each.silent_for <= settings_.silence_limit;
        });
    // Without a working reader, each instance that has not lost the store
    // reads it. Those that have lost it leave retries to the elected readers.
    return !has_working_reader && store != store_access::lost &&
           now >= start_ + settings_.reader_wait;
}

bool reader_election::is_reader(const entry_id& self, store_access store,
                                std::span<const peer_status> live) const
{
    const auto own = rank_of(self, store);
    const auto ranked_before =
        std::ranges::count_if(live, [&](const auto& each) {
            return rank_of(each.who.name, each.heartbeat.store) < own;
        });
    return static_cast<std::size_t>(ranked_before) < settings_.readers;
}

bool reader_election::is_behind(const state_revisions& revisions,
                                std::span<const peer_status> live,
                                time_point now)
{
    state_revisions newest;
    for (const auto& each : live) {
        const auto& known = each.heartbeat.revisions;
        newest.operators = std::max(newest.operators, known.operators);
        newest.targets = std::max(newest.targets, known.targets);
    }
    const bool operators =
        lags_too_long(operators_, revisions.operators, newest.operators, now);
    const bool targets =
        lags_too_long(targets_, revisions.targets, newest.targets, now);
    return operators || targets;
}

bool reader_election::lags_too_long(table_progress& table, std::uint64_t known,
                                    std::uint64_t newest, time_point now) const
{
    // An instance that still receives changes only trails the newest one.
    const bool advanced = known != table.last_compared;
    table.last_compared = known;
    if (known >= newest) {
        table.behind_since.reset();
        return false;
    }
    if (advanced || !table.behind_since)
        table.behind_since = now;
    return now - *table.behind_since > settings_.max_lag_time;
}

} // namespace vanillapost
