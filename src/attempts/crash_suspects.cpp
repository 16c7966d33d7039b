#include "vanillapost/src/attempts/crash_suspects.hpp"

#include "vanillapost/src/base/text_check.hpp"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <xxhash.h>

namespace vanillapost {

namespace {

using namespace std::chrono_literals;

/// Ends of targets under a request before it is held back.
constexpr std::size_t ends_to_hold = 2;
/// A target that ends refuses connections within this time.
constexpr duration refusal_window = 1s;
/// Without a further end a request is forgotten after this time, or after its
/// hold if that is longer.
constexpr duration memory = 30s;
/// With the spread, a request that has been mended is served again within 10 s.
constexpr duration shortest_hold = 8500ms;
constexpr duration longest_hold = 60s;
/// Times of different instances are drawn from so much more than the hold.
constexpr duration hold_spread = 1s;
/// Each end beyond these doubles the hold.
constexpr std::size_t ends_before_doubling = 6;
/// A request that is let through has ended its target, or was answered, after
/// this time in most cases.
constexpr duration trial_time = 2s;
constexpr std::size_t max_remembered_targets = 8;
constexpr std::size_t max_identity_bytes = 512;
constexpr duration cleanup_interval = 1s;

std::string digest(std::string_view text)
{
    const auto value = XXH3_128bits(text.data(), text.size());
    char hex[33];
    std::snprintf(hex, sizeof hex, "%016llx%016llx",
                  static_cast<unsigned long long>(value.high64),
                  static_cast<unsigned long long>(value.low64));
    return hex;
}

duration hold_after(std::size_t ends)
{
    auto hold = shortest_hold;
    for (auto i = ends_before_doubling; i < ends && hold < longest_hold; ++i)
        hold *= 2;
    return std::min(hold, longest_hold);
}

} // namespace

std::string request_identity(std::string_view method, std::string_view host,
                             std::string_view target, std::string_view body)
{
    std::string result;
    result.reserve(max_identity_bytes);
    result += method;
    result += '/';
    result += host;
    result += target;
    if (!is_header_word(result, max_identity_bytes))
        result = "digest:" + digest(result);
    if (!body.empty())
        result += "#" + digest(body);
    return result;
}

crash_suspects::crash_suspects(std::uint64_t key) : key_(key)
{
}

std::uint64_t crash_suspects::hash(std::string_view text) const
{
    return XXH3_64bits_withSeed(text.data(), text.size(), key_);
}

const crash_suspects::entry*
crash_suspects::find(std::string_view request) const
{
    if (entries_.empty())
        return nullptr;
    const auto found = entries_.find(hash(request));
    return found == entries_.end() ? nullptr : &found->second;
}

bool crash_suspects::is_same(const ended_target& one, const ended_target& other)
{
    const bool same_start = one.start_unix_ms == other.start_unix_ms ||
                            one.start_unix_ms == 0 || other.start_unix_ms == 0;
    return one.target == other.target && same_start;
}

bool crash_suspects::is_forgotten(const entry& accused, time_point now)
{
    return now > std::max(accused.last_accused + memory, accused.held_until);
}

void crash_suspects::on_connection_lost(std::string_view request,
                                        std::string_view target,
                                        std::int64_t start_unix_ms,
                                        time_point now)
{
    std::erase_if(pending_, [&](const auto& each) {
        return now - each.at > refusal_window;
    });
    if (pending_.size() < max_pending)
        pending_.push_back(
            {std::string(target), start_unix_ms, std::string(request), now});
}

std::vector<crash_report>
crash_suspects::on_connection_refused(std::string_view target, time_point now)
{
    std::vector<crash_report> news;
    if (pending_.empty())
        return news;
    for (const auto& each : pending_) {
        const bool counts =
            each.target == target && now - each.at <= refusal_window;
        if (counts &&
            accuse(each.request, {each.target, each.start_unix_ms}, now, now))
            news.push_back({each.request, each.target, each.start_unix_ms, {}});
    }
    std::erase_if(pending_,
                  [&](const auto& each) { return each.target == target; });
    return news;
}

bool crash_suspects::on_peer_report(const crash_report& report, time_point now)
{
    return accuse(report.request, {report.target, report.start_unix_ms},
                  now - report.age, now);
}

bool crash_suspects::accuse(std::string_view request, ended_target ended,
                            time_point at, time_point now)
{
    const auto where = hash(request);
    if (!entries_.contains(where))
        make_room(now);
    if (entries_.size() >= max_entries && !entries_.contains(where))
        return false;
    auto& accused = entries_[where];
    if (accused.ends == 0 || is_forgotten(accused, now))
        accused = {std::string(request), {}, 0, {}, {}, at};
    const bool known = std::ranges::any_of(
        accused.ended, [&](const auto& each) { return is_same(each, ended); });
    if (known)
        return false;
    if (accused.ended.size() >= max_remembered_targets)
        accused.ended.erase(accused.ended.begin());
    accused.ended.push_back(std::move(ended));
    ++accused.ends;
    accused.last_accused = std::max(accused.last_accused, at);
    if (accused.ends >= ends_to_hold)
        accused.held_until = end_of_hold(accused);
    return true;
}

// Drawn by the instance's key, which differs from that of any other.
time_point crash_suspects::end_of_hold(const entry& held) const
{
    const auto drawn =
        hash(std::to_string(held.last_accused.time_since_epoch().count()));
    const double share = static_cast<double>(drawn % 1024) / 1024;
    return held.last_accused + hold_after(held.ends) +
           scaled(hold_spread, share);
}

void crash_suspects::forget_old(time_point now)
{
    next_cleanup_ = now + cleanup_interval;
    std::erase_if(entries_, [&](const auto& each) {
        return is_forgotten(each.second, now);
    });
}

void crash_suspects::make_room(time_point now)
{
    if (entries_.size() < max_entries)
        return;
    forget_old(now);
    if (entries_.size() < max_entries)
        return;
    // Those that only one target accuses are mostly innocent.
    std::erase_if(entries_, [](const auto& each) {
        return each.second.ends < ends_to_hold;
    });
}

void crash_suspects::on_peer_trial(std::string_view request, time_point now)
{
    const auto found = entries_.find(hash(request));
    if (found == entries_.end() || found->second.ends < ends_to_hold)
        return;
    auto& held = found->second;
    held.held_until = std::max(held.held_until, now + trial_time);
}

bool crash_suspects::release(std::string_view request)
{
    return !entries_.empty() && entries_.erase(hash(request)) > 0;
}

bool crash_suspects::was_held(std::string_view request) const
{
    const auto* found = find(request);
    return found && found->ends >= ends_to_hold;
}

bool crash_suspects::explains(const entry& other, const entry& accused)
{
    if (other.ends <= accused.ends)
        return false;
    return std::ranges::all_of(accused.ended, [&](const auto& end) {
        return std::ranges::any_of(
            other.ended, [&](const auto& each) { return is_same(each, end); });
    });
}

bool crash_suspects::is_explained(const entry& accused) const
{
    return std::ranges::any_of(entries_, [&](const auto& each) {
        return explains(each.second, accused);
    });
}

bool crash_suspects::is_held(const entry& accused, time_point now) const
{
    return accused.ends >= ends_to_hold && now < accused.held_until &&
           !is_explained(accused);
}

bool crash_suspects::is_held(std::string_view request, time_point now) const
{
    const auto* found = find(request);
    return found && is_held(*found, now);
}

duration crash_suspects::hold_left(std::string_view request,
                                   time_point now) const
{
    const auto* found = find(request);
    return found && is_held(*found, now) ? found->held_until - now
                                         : duration::zero();
}

crash_admission crash_suspects::admit(std::string_view request, time_point now)
{
    if (now >= next_cleanup_)
        forget_old(now);
    const auto found = entries_.find(hash(request));
    if (found == entries_.end())
        return crash_admission::allowed;
    auto& accused = found->second;
    if (is_held(accused, now))
        return crash_admission::held;
    const bool hold_is_over =
        accused.ends >= ends_to_hold && now >= accused.held_until;
    if (!hold_is_over)
        return crash_admission::allowed;
    // The others wait for what becomes of this one.
    accused.held_until = now + trial_time;
    return crash_admission::trial;
}

bool crash_suspects::takes_turn(std::string_view request, duration length,
                                time_point now)
{
    const auto found = entries_.find(hash(request));
    if (found == entries_.end() || is_explained(found->second))
        return true;
    auto& suspected = found->second;
    if (suspected.ends >= ends_to_hold)
        return true;
    if (now < suspected.turn_began + length)
        return false;
    suspected.turn_began = now;
    return true;
}

std::vector<crash_report> crash_suspects::held_reports(std::size_t most,
                                                       time_point now) const
{
    std::vector<crash_report> result;
    for (const auto& [where, each] : entries_) {
        if (!is_held(each, now))
            continue;
        assert(each.ended.size() >= ends_to_hold);
        if (result.size() + ends_to_hold > most)
            break;
        const auto age = now - each.last_accused;
        for (auto end = each.ended.rbegin();
             end != each.ended.rbegin() + ends_to_hold; ++end)
            result.push_back(
                {each.request, end->target, end->start_unix_ms, age});
    }
    return result;
}

std::vector<std::string> crash_suspects::held_requests(time_point now) const
{
    std::vector<std::string> result;
    for (const auto& [where, each] : entries_)
        if (is_held(each, now))
            result.push_back(each.request);
    return result;
}

} // namespace vanillapost
