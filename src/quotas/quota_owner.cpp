#include "vanillapost/src/quotas/quota_owner.hpp"

#include <algorithm>
#include <cmath>

namespace vanillapost {

namespace {

using namespace std::chrono_literals;

constexpr duration long_lifetime = 2s;
/// Share of a second's refill and of the burst that may be granted as tokens
/// that live long.
constexpr double long_lived_share = 0.1;
constexpr duration min_ask_interval = 200ms;
/// Bounds what an owner reads while all instances have too much demand: so
/// many reports a second, and so many more for each token.
constexpr double max_asks_per_second = 200;
constexpr double asks_per_token = 2;
/// An instance that has not asked for so much longer than it was told to has
/// no demand.
constexpr duration forget_after = 1s;
constexpr double us_per_second = 1e6;

} // namespace

void quota_owner::set_limit(const quota& limit, double part, time_point now)
{
    refill(now);
    rate_ = limit.requests_per_second * part;
    burst_ = std::max(limit.burst * part, 1.0);
    tokens_ = std::min(tokens_, burst_);
}

void quota_owner::refill(time_point now)
{
    if (now <= filled_at_)
        return;
    const auto passed = static_cast<double>((now - filled_at_).count());
    tokens_ = std::min(tokens_ + rate_ * passed / us_per_second, burst_);
    filled_at_ = now;
}

// No more than was granted: the rest would be invented.
void quota_owner::take_back(holder& from, std::uint32_t returned)
{
    const auto accepted = std::min(returned, from.granted);
    from.granted -= accepted;
    tokens_ = std::min(tokens_ + accepted, burst_);
}

void quota_owner::remove_silent_holders(time_point now)
{
    if (now < cleaned_at_ + forget_after)
        return;
    cleaned_at_ = now;
    const auto silence = forget_after + ask_interval();
    std::erase_if(holders_, [&](const auto& each) {
        return now - each.second.asked_at > silence;
    });
}

bool quota_owner::may_live_long(std::uint32_t tokens, time_point now)
{
    while (!long_lived_.empty() && long_lived_.front().first <= now) {
        long_lived_tokens_ -= long_lived_.front().second;
        long_lived_.pop_front();
    }
    const double limit = (rate_ + burst_) * long_lived_share;
    if (tokens == 0 || long_lived_tokens_ + tokens > limit ||
        tokens_ < burst_ / 2)
        return false;
    long_lived_.emplace_back(now + long_lifetime, tokens);
    long_lived_tokens_ += tokens;
    return true;
}

duration quota_owner::ask_interval() const
{
    const auto seconds = static_cast<double>(holders_.size()) /
                         (max_asks_per_second + asks_per_token * rate_);
    return std::max(min_ask_interval, duration(static_cast<duration::rep>(
                                          seconds * us_per_second)));
}

quota_grant quota_owner::grant(const entry_id& name, const quota_demand& demand,
                               time_point now)
{
    remove_silent_holders(now);
    refill(now);
    auto& holder = holders_[name];
    holder.asked_at = now;
    take_back(holder, demand.returned);
    const auto available = static_cast<std::uint32_t>(std::max(tokens_, 0.0));
    quota_grant result;
    result.organisation = demand.organisation;
    result.tokens = std::min(demand.wanted, available);
    tokens_ -= result.tokens;
    holder.granted += result.tokens;
    result.lifetime =
        may_live_long(result.tokens, now) ? long_lifetime : token_lifetime_;
    if (result.tokens < demand.wanted)
        result.ask_again_after = ask_interval();
    return result;
}

} // namespace vanillapost
