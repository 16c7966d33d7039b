#include "vanillapost/src/membership/liveness.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

/// How far the age that a list gives for itself may be wrong.
constexpr duration list_age_error = std::chrono::seconds(1);

} // namespace

void liveness::apply(const instance_list& list, time_point asked_at,
                     time_point now)
{
    const time_point snapshot = asked_at - list.age;
    if (snapshot_ && snapshot < *snapshot_) {
        return;
    }
    snapshot_ = snapshot;
    listed_.clear();
    for (const listed_instance& instance : list.instances) {
        listed_[instance.who.name] = instance;
        time_point& last = evidence_[instance.who];
        last = std::max(last, snapshot);
    }
    end_missing(now);
    note_change(now);
}

void liveness::note_named(const entry_incarnation& who, time_point now)
{
    if (ended_.contains(who)) {
        return;
    }
    time_point& last = evidence_[who];
    last = std::max(last, now + list_age_error);
}

void liveness::note_ended(const entry_incarnation& who, time_point now)
{
    ended_.emplace(who, now);
    evidence_.erase(who);
    note_change(now);
}

std::optional<time_point>
liveness::ended_since(const entry_incarnation& who) const
{
    const auto found = ended_.find(who);
    if (found == ended_.end()) {
        return std::nullopt;
    }
    return found->second;
}

bool liveness::ended_for(const entry_incarnation& who, duration length,
                         time_point now) const
{
    const auto since = ended_since(who);
    return since && now - *since >= length;
}

std::vector<listed_instance> liveness::present() const
{
    std::vector<listed_instance> result;
    for (const auto& [name, instance] : listed_) {
        if (!ended_.contains(instance.who)) {
            result.push_back(instance);
        }
    }
    return result;
}

std::vector<listed_instance> liveness::live() const
{
    std::vector<listed_instance> result = present();
    std::erase_if(result, [](const listed_instance& instance) {
        return instance.leaving;
    });
    return result;
}

const listed_instance* liveness::find(const entry_id& name) const
{
    const auto found = listed_.find(name);
    return found == listed_.end() ? nullptr : &found->second;
}

bool liveness::is_live(const entry_incarnation& who) const
{
    const listed_instance* instance = find(who.name);
    return instance && instance->who == who && !instance->leaving &&
           !ended_.contains(who);
}

void liveness::end_missing(time_point now)
{
    for (auto it = evidence_.begin(); it != evidence_.end();) {
        const listed_instance* instance = find(it->first.name);
        const bool listed = instance && instance->who == it->first;
        if (!listed && it->second < *snapshot_) {
            ended_.emplace(it->first, now);
            it = evidence_.erase(it);
        } else {
            ++it;
        }
    }
}

void liveness::note_change(time_point now)
{
    std::set<entry_incarnation> live_now;
    for (const listed_instance& instance : live()) {
        live_now.insert(instance.who);
    }
    if (live_now != last_live_) {
        last_live_ = std::move(live_now);
        changed_at_ = now;
        ++version_;
    }
}

} // namespace vanillapost
