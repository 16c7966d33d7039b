#ifndef VANILLAPOST_SRC_ATTEMPTS_REPEAT_BUDGET_HPP
#define VANILLAPOST_SRC_ATTEMPTS_REPEAT_BUDGET_HPP

#include "../base/time.hpp"

#include <deque>

namespace vanillapost {

struct repeat_budget_settings
{
    double ratio = 0.2;    ///< repeats for each request, over the window
    double allowance = 50; ///< repeats beyond, of all instances together
    duration window = std::chrono::seconds(10);
};

/// Bounds the repeats that all instances send to one service in any window,
/// without talking to each other.
///
/// Each takes the ratio of its own requests and its part of the allowance.
/// The part leaves room for instances that join and for a restart of all,
/// which forgets what was sent: half of it is held back for a whole window
/// after the start.
class repeat_budget
{
public:
    repeat_budget(const repeat_budget_settings& settings, time_point start);

    /// \param members  instances known now, this one included
    void set_members(std::size_t members);

    void on_request(time_point now);

    /// Whether one more repeat is within the budget.
    /// \param reserve  share of the budget that is left for others, 0 to 1
    bool has_room(time_point now, double reserve = 0) const;

    void on_repeat(time_point now);

    /// Repeats in the window that ends now.
    std::size_t repeats(time_point now) const;

private:
    struct slice
    {
        time_point begin{};
        int requests = 0;
        int repeats = 0;
    };

    slice& current(time_point now);

    repeat_budget_settings settings_;
    time_point start_;
    std::size_t members_ = 1;
    std::deque<slice> slices_;
};

} // namespace vanillapost

#endif
