#include "vanillapost/src/quotas/quota_holder.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace vanillapost {

namespace {

using namespace std::chrono_literals;

/// Over which demand and use are averaged.
constexpr duration rate_memory = 1s;
/// Demand for which tokens are kept in stock.
constexpr duration stock_time = 250ms;
/// For which an owner that was short may still be.
constexpr duration short_memory = 1s;
/// A request waits for a reply no longer: it or the report was lost.
constexpr duration max_reply_time = 60ms;
constexpr duration max_pending_time = 150ms;
/// Reports without a reply after which an owner is asked only now and then.
constexpr int max_unanswered = 2;
constexpr duration unanswered_interval = 250ms;
constexpr duration reserve_window = 5s;
constexpr double max_rate = 100'000;
/// Extra attempts beyond it are not made up for: they are bounded elsewhere.
constexpr std::uint32_t max_debt = 1'000;
constexpr std::size_t max_lots = 32;
/// Callers are told to come back within this time.
constexpr duration max_return_time = 2s;
constexpr duration min_return_time = 100ms;
constexpr double min_use = 0.5;
/// Fractions of multiples of it are spread evenly.
constexpr double golden_ratio = 0.6180339887;
constexpr double us_per_second = 1e6;

double in_seconds(duration time)
{
    return static_cast<double>(time.count()) / us_per_second;
}

double decayed(double rate, time_point at, time_point now)
{
    return rate * std::exp(-in_seconds(now - at) / in_seconds(rate_memory));
}

void count(double& rate, time_point& at, time_point now)
{
    rate = decayed(rate, at, now) + 1 / in_seconds(rate_memory);
    rate = std::min(rate, max_rate);
    at = now;
}

} // namespace

void quota_holder::set_owners(std::span<const entry_id> owners)
{
    std::vector<source> sources;
    for (const auto& owner : owners) {
        const auto* known = find(owner);
        sources.push_back(known ? *known : source{owner, {}, 0, {}, 0, {}});
    }
    sources_ = std::move(sources);
}

quota_holder::source* quota_holder::find(const entry_id& owner)
{
    const auto found = std::ranges::find(sources_, owner, &source::owner);
    return found == sources_.end() ? nullptr : &*found;
}

const quota_holder::source* quota_holder::find(const entry_id& owner) const
{
    const auto found = std::ranges::find(sources_, owner, &source::owner);
    return found == sources_.end() ? nullptr : &*found;
}

quota_decision quota_holder::admit(bool is_new, time_point now)
{
    if (is_new)
        count(demand_, demand_at_, now);
    else
        stop_waiting();
    pay_debt(now);
    if (debt_ == 0 && (take(now) || take_reserve(now))) {
        count(use_, use_at_, now);
        return quota_admitted{};
    }
    const bool may_wait = std::ranges::any_of(sources_, [&](const auto& each) {
        return can_ask(each, now) || is_awaited(each, now);
    });
    if (!may_wait)
        return quota_refused{return_time(now)};
    waiting_ += 1;
    return quota_pending{max_pending_time};
}

// The first to expire are used first.
bool quota_holder::take(time_point now)
{
    for (auto& each : lots_) {
        if (each.tokens == 0 || each.expires <= now)
            continue;
        each.tokens -= 1;
        return true;
    }
    return false;
}

void quota_holder::pay_debt(time_point now)
{
    debt_ = std::min(debt_, max_debt);
    while (debt_ > 0 && take(now))
        debt_ -= 1;
}

// Half of the reserve at once, and half over a window, are at most the reserve
// in any window.
bool quota_holder::take_reserve(time_point now)
{
    const double most = reserve_per_window_ / 2;
    if (now > reserve_at_) {
        const double refill =
            most * in_seconds(now - reserve_at_) / in_seconds(reserve_window);
        reserve_ = std::min(reserve_ + refill, most);
        reserve_at_ = now;
    }
    if (reserve_ < 1)
        return false;
    reserve_ -= 1;
    return true;
}

bool quota_holder::is_awaited(const source& each, time_point now) const
{
    return each.asked_at && now < *each.asked_at + max_reply_time;
}

bool quota_holder::can_ask(const source& each, time_point now) const
{
    if (is_awaited(each, now) || now < each.short_until)
        return false;
    return each.unanswered < max_unanswered || !each.asked_at ||
           now >= *each.asked_at + unanswered_interval;
}

bool quota_holder::is_short(time_point now) const
{
    return std::ranges::any_of(sources_, [&](const auto& each) {
        return now < each.short_until + short_memory;
    });
}

double quota_holder::demand_rate(time_point now) const
{
    return decayed(demand_, demand_at_, now);
}

std::uint32_t quota_holder::tokens(time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& each : lots_)
        if (each.expires > now)
            sum += each.tokens;
    return sum;
}

std::uint32_t quota_holder::asked_for(time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& each : sources_)
        if (is_awaited(each, now))
            sum += each.asked_for;
    return sum;
}

std::uint32_t quota_holder::wanted(time_point now) const
{
    // While the quota is short, a token that may not be used here is better
    // used elsewhere.
    const double expected = demand_rate(now) * in_seconds(stock_time);
    const auto stock = static_cast<std::uint32_t>(
        is_short(now) ? std::floor(expected) : std::ceil(expected));
    const auto want = stock + waiting_ + debt_;
    const auto have = tokens(now) + asked_for(now);
    return want > have ? std::min(want - have, max_quota_tokens) : 0;
}

bool quota_holder::needs_report(time_point now) const
{
    return needs_tokens(now) || must_return(now);
}

bool quota_holder::needs_tokens(time_point now) const
{
    const auto have = tokens(now) + asked_for(now);
    if (waiting_ + debt_ > have)
        return true;
    const double stock = demand_rate(now) * in_seconds(stock_time);
    return stock >= 1 && have < stock / 2;
}

// Others lack what has not been used here.
bool quota_holder::must_return(time_point now) const
{
    return is_short(now) && std::ranges::any_of(lots_, [&](const auto& each) {
               return each.tokens > 0 && each.expires <= now;
           });
}

std::uint32_t quota_holder::take_expired(const entry_id& owner, time_point now)
{
    std::uint32_t returned = 0;
    for (auto& each : lots_)
        if (each.owner == owner && each.expires <= now)
            returned += std::exchange(each.tokens, 0);
    std::erase_if(lots_, [](const auto& each) { return each.tokens == 0; });
    return std::min(returned, max_quota_tokens);
}

std::optional<quota_demand> quota_holder::next_demand(const entry_id& owner,
                                                      time_point now)
{
    auto* asked = find(owner);
    if (!asked || !can_ask(*asked, now))
        return std::nullopt;
    const auto sources = static_cast<std::uint32_t>(
        std::ranges::count_if(sources_, [&](const auto& each) {
            return can_ask(each, now) && each.unanswered == 0;
        }));
    const auto all = needs_tokens(now) ? wanted(now) : 0;
    quota_demand result;
    result.wanted = sources > 1 ? (all + sources - 1) / sources : all;
    result.returned = take_expired(owner, now);
    if (result.wanted == 0 && result.returned == 0)
        return std::nullopt;
    return result;
}

void quota_holder::on_asked(const entry_id& owner, const quota_demand& demand,
                            time_point now)
{
    auto* asked = find(owner);
    if (!asked)
        return;
    asked->asked_at = now;
    asked->asked_for = demand.wanted;
    asked->unanswered += 1;
}

void quota_holder::on_grant(const entry_id& owner, const quota_grant& grant,
                            time_point asked_at, time_point now)
{
    auto* asked = find(owner);
    if (!asked)
        return;
    asked->asked_at.reset();
    asked->answered = asked_at;
    asked->unanswered = 0;
    if (grant.ask_again_after > duration(0))
        asked->short_until = asked_at + grant.ask_again_after;
    if (grant.tokens == 0 || lots_.size() >= max_lots)
        return;
    lots_.push_back({owner, grant.tokens, asked_at + grant.lifetime});
    std::ranges::stable_sort(lots_, {}, &lot::expires);
    pay_debt(now);
}

bool quota_holder::was_answered(const entry_id& owner, duration within,
                                time_point now) const
{
    const auto* asked = find(owner);
    return asked && asked->answered && now < *asked->answered + within;
}

// Callers come back one after the other, as fast as this instance was allowed
// to admit requests; those that this would take too long are spread evenly.
duration quota_holder::return_time(time_point now)
{
    const double rate = std::max(decayed(use_, use_at_, now), min_use);
    const auto gap = duration(static_cast<duration::rep>(us_per_second / rate));
    next_return_ = std::max(next_return_ + gap, now + min_return_time);
    if (next_return_ <= now + max_return_time)
        return next_return_ - now;
    next_return_ = now + max_return_time;
    spread_ = std::fmod(spread_ + golden_ratio, 1.0);
    return min_return_time + scaled(max_return_time - min_return_time, spread_);
}

} // namespace vanillapost
