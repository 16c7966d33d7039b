#ifndef VANILLAPOST_SRC_MEASURING_PROBE_JUDGE_HPP
#define VANILLAPOST_SRC_MEASURING_PROBE_JUDGE_HPP

#include "../base/time.hpp"
#include "../limits/target_limiter.hpp"

#include <optional>

namespace vanillapost {

/// Answer of a target's health endpoint.
struct probe_result
{
    bool reachable = false;
    target_state state = target_state::unknown;
    time_point sent{};
};

struct probe_judge_settings
{
    int failures_to_avoid = 2; ///< probes in a row without an answer
    /// How much a health endpoint may lag behind.
    duration lag = std::chrono::seconds(2);
};

/// What a probe's result changes.
enum class probe_verdict
{
    nothing,
    cold,        ///< mark the target cold
    draining,    ///< no new work
    back,        ///< no longer draining; counts as cold
    unreachable, ///< mark cold and avoid
};

/// Weighs probes of one target against its answers to real work.
///
/// Health endpoints lag. A result that contradicts a recent answer to real work
/// is dropped, and no probe ever proves a target warm: only work does.
class probe_judge
{
public:
    explicit probe_judge(const probe_judge_settings& settings = {});

    /// The target answered real work and named its state.
    void on_traffic(target_state state, time_point now);

    probe_verdict on_probe(const probe_result& result, time_point now);

private:
    bool contradicted(const probe_result& result, time_point now) const;

    probe_judge_settings settings_;
    std::optional<time_point> traffic_at_;
    target_state traffic_state_ = target_state::unknown;
    int failures_ = 0;
    bool draining_ = false;
    bool unreachable_ = false;
};

} // namespace vanillapost

#endif
