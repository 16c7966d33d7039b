#include "target_work.hpp"

#include <algorithm>
#include <cassert>

namespace vanillapost::standin {

namespace {

constexpr std::size_t max_keys = 1'000'000;
/// How much slower a target gets when it carries too much.
constexpr double overload_factor = 10.0;
/// Time for the news of a cold start to reach who sends work.
constexpr duration told_margin = std::chrono::milliseconds(250);

} // namespace

std::string_view to_string(target_state state)
{
    switch (state) {
    case target_state::cold:
        return "cold";
    case target_state::warm:
        return "warm";
    case target_state::draining:
        break;
    }
    return "draining";
}

target_work::target_work(const target_settings& settings)
    : slots_(settings.slots), cold_slots_(settings.cold_slots),
      cold_completions_(settings.cold_completions),
      cold_factor_(settings.cold_factor), sheds_(settings.shed),
      warm_after_(settings.starts_cold ? settings.cold_completions : 0)
{
}

target_state target_work::state() const
{
    if (draining_)
        return target_state::draining;
    return warm_after_ > 0 ? target_state::cold : target_state::warm;
}

bool target_work::cold_and_known(time_point now) const
{
    return told_cold_ && now - *told_cold_ > told_margin;
}

std::optional<double> target_work::start(const std::string& key, time_point now,
                                         std::int64_t unix_ms)
{
    const int in_flight = in_flight_ + 1;
    max_in_flight_ = std::max(max_in_flight_, in_flight);
    const bool over = in_flight > slots_;
    over_limit_ += over ? 1 : 0;
    if (over && sheds_) {
        ++shed_;
        return std::nullopt;
    }
    double factor = over ? overload_factor : 1.0;
    if (warm_after_ > 0) {
        factor *= cold_factor_;
        max_in_flight_cold_ = std::max(max_in_flight_cold_, in_flight);
        if (in_flight > cold_slots_) {
            ++cold_over_limit_;
            cold_over_limit_told_ += cold_and_known(now) ? 1 : 0;
            factor *= overload_factor;
        }
    }
    in_flight_ = in_flight;
    max_running_ = std::max(max_running_, in_flight);
    ++started_;
    last_start_unix_ms_ = unix_ms;
    if (runs_.size() < max_keys || runs_.contains(key))
        ++runs_[key];
    return factor;
}

void target_work::complete(time_point now)
{
    assert(in_flight_ > 0);
    --in_flight_;
    ++completed_;
    told_state(now);
    if (warm_after_ > 0 && --warm_after_ == 0)
        told_cold_.reset();
}

void target_work::told_state(time_point now)
{
    if (warm_after_ > 0 && !told_cold_)
        told_cold_ = now;
}

void target_work::cancel()
{
    assert(in_flight_ > 0);
    --in_flight_;
    ++cancelled_;
}

void target_work::expire()
{
    assert(in_flight_ > 0);
    --in_flight_;
    ++expired_;
}

void target_work::turn_cold()
{
    warm_after_ = cold_completions_;
    told_cold_.reset();
}

void target_work::drain(bool draining)
{
    draining_ = draining;
}

void target_work::count_refused_draining(std::int64_t unix_ms)
{
    ++refused_draining_;
    last_offer_draining_unix_ms_ = unix_ms;
}

nlohmann::json target_work::truth() const
{
    return {{"slots", slots_},
            {"cold_slots", cold_slots_},
            {"state", to_string(state())},
            {"in_flight", in_flight_},
            {"max_in_flight", max_in_flight_},
            {"max_running", max_running_},
            {"max_in_flight_cold", max_in_flight_cold_},
            {"over_limit", over_limit_},
            {"cold_over_limit", cold_over_limit_},
            {"cold_over_limit_told", cold_over_limit_told_},
            {"started", started_},
            {"completed", completed_},
            {"shed", shed_},
            {"cancelled", cancelled_},
            {"expired", expired_},
            {"refused_expired", refused_expired_},
            {"refused_draining", refused_draining_},
            {"failed_fast", failed_fast_},
            {"probes", probes_},
            {"last_start_unix_ms", last_start_unix_ms_},
            {"last_offer_draining_unix_ms", last_offer_draining_unix_ms_},
            {"runs", runs_}};
}

void target_work::reset_truth()
{
    const auto old = *this;
    target_settings settings;
    settings.slots = slots_;
    settings.cold_slots = cold_slots_;
    settings.cold_completions = cold_completions_;
    settings.cold_factor = cold_factor_;
    settings.shed = sheds_;
    *this = target_work(settings);
    warm_after_ = old.warm_after_;
    draining_ = old.draining_;
    in_flight_ = old.in_flight_;
    told_cold_ = old.told_cold_;
}

} // namespace vanillapost::standin
