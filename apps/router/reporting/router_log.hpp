#ifndef VANILLAPOST_APPS_ROUTER_REPORTING_ROUTER_LOG_HPP
#define VANILLAPOST_APPS_ROUTER_REPORTING_ROUTER_LOG_HPP

#include "vanillapost/base.hpp"
#include "vanillapost/io.hpp"

#include <cstdint>
#include <initializer_list>
#include <optional>

namespace vanillapost::router {

/// Writes log lines at a limited rate. Warnings and errors have a limit of
/// their own, so that many successful requests never displace them.
class router_log
{
public:
    router_log(io::event_loop& loop, int lines_per_second);

    void set_limit(int lines_per_second)
    {
        limit_ = lines_per_second;
    }

    /// Writes a line, unless the limit for this second is reached. The number
    /// of lines left out is logged with the first line after the second is
    /// over.
    void request(io::log_level level, std::string_view event,
                 std::initializer_list<io::log_field> fields);

    /// Logs that a target accepts another rate of requests, or that it has no
    /// limit any more.
    /// \param per_second  nullopt: no limit
    /// \param told_by  "answer", "probe" or "a peer"
    void rate_limit(const target_id& target, std::optional<double> per_second,
                    std::string_view told_by);

    /// Writes a line whatever the limit: for the start, the stop or a lost
    /// dependency.
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
