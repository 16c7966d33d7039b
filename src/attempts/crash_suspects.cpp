#include "vanillapost/src/attempts/crash_suspects.hpp"

#include <algorithm>
#include <cstdio>
#include <xxhash.h>

namespace vanillapost {

namespace {

using namespace std::chrono_literals;

/// Distinct targets that have to end under a request before it is held back.
constexpr std::size_t targets_to_hold = 2;
/// A target that ends refuses connections within this time.
constexpr duration refusal_window = 1s;
/// Without a further end a request is forgotten after this time, or after its
/// hold if that is longer.
constexpr duration memory = 30s;
constexpr duration first_hold = 5s;
constexpr duration longest_hold = 60s;
constexpr std::size_t max_remembered_targets = 8;
constexpr std::size_t max_identity_bytes = 512;

bool is_printable(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return c > ' ' && c < 127; });
}

std::string digest(std::string_view text)
{
    const auto value = XXH3_128bits(text.data(), text.size());
    char hex[33];
    std::snprintf(hex, sizeof hex, "%016llx%016llx",
                  static_cast<unsigned long long>(value.high64),
                  static_cast<unsigned long long>(value.low64));
    return hex;
}

} // namespace

std::string request_identity(std::string_view method, std::string_view host,
                             std::string_view target, std::string_view body)
{
    std::string result(method);
    result += '/';
    result += host;
    result += target;
    if (result.size() > max_identity_bytes || !is_printable(result))
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

void crash_suspects::on_connection_lost(std::string_view request,
                                        std::string_view target, time_point now)
{
    std::erase_if(pending_, [&](const auto& each) {
        return now - each.at > refusal_window;
    });
    if (pending_.size() < max_pending)
        pending_.push_back(
            {hash(target), std::string(target), std::string(request), now});
}

std::vector<crash_report>
crash_suspects::on_connection_refused(std::string_view target, time_point now)
{
    std::vector<crash_report> news;
    if (pending_.empty())
        return news;
    const auto wanted = hash(target);
    for (const auto& each : pending_) {
        const bool counts =
            each.target == wanted && now - each.at <= refusal_window;
        if (counts && accuse(each.request, target, now))
            news.push_back({each.request, std::string(target)});
    }
    std::erase_if(pending_,
                  [&](const auto& each) { return each.target == wanted; });
    return news;
}

bool crash_suspects::on_peer_report(const crash_report& report, time_point now)
{
    if (report.request.size() > 2 * max_identity_bytes)
        return false;
    return accuse(report.request, report.target, now);
}

bool crash_suspects::accuse(std::string_view request, std::string_view target,
                            time_point now)
{
    const auto where = hash(request);
    if (!entries_.contains(where))
        make_room(now);
    if (entries_.size() >= max_entries && !entries_.contains(where))
        return false;
    auto& accused = entries_[where];
    const bool forgotten =
        now > std::max(accused.last_accused + memory, accused.held_until);
    if (forgotten)
        accused = {};
    const auto ended = hash(target);
    if (std::ranges::find(accused.targets, ended) != accused.targets.end())
        return false;
    accused.last_accused = now;
    if (accused.targets.size() >= max_remembered_targets)
        accused.targets.erase(accused.targets.begin());
    accused.targets.push_back(ended);
    if (accused.targets.size() >= targets_to_hold)
        extend_hold(accused, now);
    return true;
}

// Drawn between one and two times the hold, by the instance's key.
void crash_suspects::extend_hold(entry& held, time_point now) const
{
    held.hold = held.hold == duration::zero()
                    ? first_hold
                    : std::min(held.hold * 2, longest_hold);
    const auto drawn = hash(std::to_string(now.time_since_epoch().count()));
    const double share = static_cast<double>(drawn % 1024) / 1024;
    held.held_until = now + scaled(held.hold, 1 + share);
}

void crash_suspects::make_room(time_point now)
{
    if (entries_.size() < max_entries)
        return;
    std::erase_if(entries_, [&](const auto& each) {
        const auto& held = each.second;
        return now > std::max(held.last_accused + memory, held.held_until);
    });
    if (entries_.size() < max_entries)
        return;
    // Those that only one target accuses are mostly innocent.
    std::erase_if(entries_, [](const auto& each) {
        return each.second.targets.size() < targets_to_hold;
    });
}

void crash_suspects::on_answered(std::string_view request)
{
    if (!entries_.empty())
        entries_.erase(hash(request));
}

bool crash_suspects::is_held(std::string_view request, time_point now) const
{
    if (entries_.empty())
        return false;
    const auto found = entries_.find(hash(request));
    return found != entries_.end() && now < found->second.held_until;
}

bool crash_suspects::admits(std::string_view request, time_point now)
{
    if (is_held(request, now))
        return false;
    const auto found = entries_.find(hash(request));
    const bool was_held =
        found != entries_.end() && found->second.hold > duration::zero();
    // The others wait for what becomes of this one.
    if (was_held)
        found->second.held_until = now + found->second.hold;
    return true;
}

} // namespace vanillapost
