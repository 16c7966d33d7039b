#include "reporting/router_log.hpp"

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

} // namespace

router_log::router_log(io::event_loop& loop, int lines_per_second)
    : loop_(loop), limit_(lines_per_second)
{
}

void router_log::request(io::log_level level, std::string_view event,
                         std::initializer_list<io::log_field> fields)
{
    next_second(loop_.now());
    const bool failure = level >= io::log_level::warning;
    int& written = failure ? failures_written_ : written_;
    if (written >= limit_) {
        ++left_out_;
        return;
    }
    ++written;
    io::log(level, event, fields);
}

void router_log::rate_limit(const target_id& target,
                            std::optional<double> per_second,
                            std::string_view told_by)
{
    request(io::log_level::info, "target_rate_limit",
            {{"target", target.value},
             {"per_second", per_second ? std::to_string(*per_second) : "none"},
             {"told_by", std::string(told_by)}});
}

void router_log::state(io::log_level level, std::string_view event,
                       std::initializer_list<io::log_field> fields)
{
    io::log(level, event, fields);
}

void router_log::next_second(time_point now)
{
    if (now < second_ + 1s)
        return;
    second_ = now;
    written_ = 0;
    failures_written_ = 0;
    if (left_out_ > 0)
        io::log(io::log_level::warning, "log_lines_left_out",
                {{"count", std::to_string(left_out_)}});
    left_out_ = 0;
}

} // namespace vanillapost::router
