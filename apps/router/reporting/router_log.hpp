#ifndef VANILLAPOST_APPS_ROUTER_REPORTING_ROUTER_LOG_HPP
#define VANILLAPOST_APPS_ROUTER_REPORTING_ROUTER_LOG_HPP

#include "vanillapost/base.hpp"
#include "vanillapost/io.hpp"

#include <cstdint>
#include <initializer_list>
#include <optional>

namespace vanillapost::router {

/// Log lines with a bound on their rate. Failures have a reserve of their
/// own, so that many good requests never hide them.
class router_log
{
public:
    router_log(io::event_loop& loop, int lines_per_second);

    void set_limit(int lines_per_second)
    {
        limit_ = lines_per_second;
    }

    /// A line that is left out when too many were written this second. How
    /// many were left out is told when the second is over.
    void request(io::log_level level, std::string_view event,
                 std::initializer_list<io::log_field> fields);

    /// A target takes another rate, or any number of requests again.
    /// \param told_by  "answer", "probe" or "a peer"
    void rate_limit(const target_id& target, std::optional<double> per_second,
                    std::string_view told_by);

    /// A line that is always written: start, stop, a lost dependency.
    void state(io::log_level level, std::string_view event,
               std::initializer_list<io::log_field> fields = {});

private:
    void next_second(time_point now);

    io::event_loop& loop_;
    int limit_;
    time_point second_{};
    int written_ = 0;
    int failures_written_ = 0;
    std::uint64_t left_out_ = 0;
};

} // namespace vanillapost::router

#endif
