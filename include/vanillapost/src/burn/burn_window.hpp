#ifndef VANILLAPOST_SRC_BURN_BURN_WINDOW_HPP
#define VANILLAPOST_SRC_BURN_BURN_WINDOW_HPP

#include "../base/time.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace vanillapost {

/// Good and all answers of a service.
struct answer_count
{
    std::uint64_t good = 0;
    std::uint64_t total = 0;

    bool operator==(const answer_count&) const = default;
};

/// How a service did over one window of time.
struct burn_window
{
    duration length{};
    duration covered{}; ///< less than `length` while history is short
    answer_count answers{};

    /// Share of bad answers; 0 when there were none at all.
    double error_rate() const;

    /// Error rate as a multiple of what the objective allows. 1 uses up the
    /// budget exactly at the end of its period.
    double burn_rate(double objective) const;
};

/// Sums windows of one length, such as those of several entries.
burn_window merge(std::span<const burn_window> windows);

enum class burn_severity
{
    none,
    ticket, ///< budget runs out within days
    page,   ///< budget runs out within hours
};

/// A pair of windows that must both burn faster than `rate`: the long one
/// shows that it matters, the short one that it still goes on.
struct burn_rule
{
    duration long_window{};
    duration short_window{};
    double rate = 0;
    burn_severity severity = burn_severity::none;
};

/// The windows that a report shows.
inline constexpr std::array<duration, 4> burn_windows = {
    std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::hours(1),
    std::chrono::hours(6)};

/// Rules for a budget over 30 days.
inline constexpr std::array<burn_rule, 2> burn_rules = {
    burn_rule{std::chrono::hours(1), std::chrono::minutes(5), 14.4,
              burn_severity::page},
    burn_rule{std::chrono::hours(6), std::chrono::minutes(30), 6,
              burn_severity::ticket}};

std::string_view name_of(burn_severity severity);

} // namespace vanillapost

#endif
