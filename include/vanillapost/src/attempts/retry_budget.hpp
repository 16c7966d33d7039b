#ifndef VANILLAPOST_SRC_ATTEMPTS_RETRY_BUDGET_HPP
#define VANILLAPOST_SRC_ATTEMPTS_RETRY_BUDGET_HPP

#include "../base/time.hpp"

#include <deque>

namespace vanillapost {

struct retry_budget_settings
{
    double ratio = 0.2;    ///< retries per request, over the window
    double allowance = 50; ///< further retries per window, of all instances
    duration window = std::chrono::seconds(10);
};

/// Limits the retries that all instances together send to one service in any
/// window, without communication between the instances.
///
/// Each instance may send `ratio` retries per request of its own, plus a share
/// of `allowance`. The share leaves room for instances that join. It also
/// leaves room for a restart of all instances, which loses the record of what
/// was sent: half of the share is withheld for one window after the start.
class retry_budget
{
public:
    retry_budget(const retry_budget_settings& settings, time_point start);

    /// \param members  number of instances known now, this one included
    void set_members(std::size_t members);

    void on_request(time_point now);

    /// Whether one more retry is within the budget.
    /// \param reserve  fraction of the budget, from 0 to 1, that has to stay
    ///                 free for others
    bool has_room(time_point now, double reserve = 0) const;

    void on_retry(time_point now);

    /// Number of retries in the window that ends now.
    std::size_t retries(time_point now) const;

private:
    struct slice
    {
        time_point begin{};
        int requests = 0;
        int retries = 0;
    };

    slice& current(time_point now);

    retry_budget_settings settings_;
    time_point start_;
    std::size_t members_ = 1;
    std::deque<slice> slices_;
};

} // namespace vanillapost

#endif
