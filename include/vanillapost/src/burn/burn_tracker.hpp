#ifndef VANILLAPOST_SRC_BURN_BURN_TRACKER_HPP
#define VANILLAPOST_SRC_BURN_BURN_TRACKER_HPP

#include "burn_window.hpp"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace vanillapost {

struct burn_settings
{
    double objective = 0.999; ///< share of answers that must be good
    duration period = std::chrono::hours(24 * 30);  ///< of the error budget
    duration resolution = std::chrono::seconds(10); ///< of the history
};

/// Burn of one service, from cumulative counters of several entries.
///
/// A counter that falls was reset by a restart: what it shows counts in full.
/// The first sight of a source sets its start, unless it is known to be new.
///
/// \note History older than the longest window is summed up, so that memory
/// is bounded by the longest window over the resolution.
class burn_tracker
{
public:
    explicit burn_tracker(const burn_settings& settings = {});

    /// A source's counters as read at `at`; times must not fall.
    ///
    /// \param source  an entry
    /// \param from_zero  the source is known to have counted from zero within
    /// the time observed; counts its first reading in full
    void observe(std::string_view source, time_point at, answer_count counts,
                 bool from_zero = false);

    /// The last `length` of time before `now`.
    burn_window window(duration length, time_point now) const;

    /// Highest severity of the rules that hold at `now`.
    burn_severity severity(time_point now,
                           std::span<const burn_rule> rules = burn_rules) const;

    /// Share of the period's error budget that is left; negative when
    /// overspent. The budget counts the answers that the period has if it goes
    /// on at the rate observed.
    double budget_left(time_point now) const;

    /// All answers observed.
    answer_count total() const
    {
        return total_;
    }

    const burn_settings& settings() const
    {
        return settings_;
    }

private:
    struct point
    {
        time_point at;
        answer_count total; ///< all answers up to then
    };

    answer_count increment(std::string_view source, answer_count counts,
                           bool from_zero);
    void append(time_point at);

    burn_settings settings_;
    std::map<std::string, answer_count, std::less<>> sources_;
    std::deque<point> history_;
    answer_count total_;
    time_point started_{}; ///< of the first reading
};

} // namespace vanillapost

#endif
