#ifndef VANILLAPOST_STANDINS_TARGET_TARGET_WORK_HPP
#define VANILLAPOST_STANDINS_TARGET_TARGET_WORK_HPP

#include "target_settings.hpp"

#include <map>
#include <optional>
#include <string>

namespace vanillapost::standin {

enum class target_state
{
    cold,
    warm,
    draining
};

std::string_view to_string(target_state state);

/// Requests in flight on a target, its state, and the truth about both.
class target_work
{
public:
    explicit target_work(const target_settings& settings);

    target_state state() const;

    /// A request has come that the target may run.
    /// \param key  idempotency key, or the request's id
    /// \return how much slower than usual it runs, or nothing when it is shed
    std::optional<double> start(const std::string& key, time_point now,
                                std::int64_t unix_ms);

    void complete(time_point now);
    void cancel();
    void expire();

    void turn_cold();
    void drain(bool draining);

    void count_probe()
    {
        ++probes_;
    }
    void count_refused_draining(std::int64_t unix_ms);
    void count_refused_expired()
    {
        ++refused_expired_;
    }
    void count_failed_fast()
    {
        ++failed_fast_;
    }
    /// Notes that callers have been told of the state.
    void told_state(time_point now);

    int in_flight() const
    {
        return in_flight_;
    }

    nlohmann::json truth() const;

    /// Forgets counts and maxima, but not what is in flight.
    void reset_truth();

private:
    bool cold_and_known(time_point now) const;

    int slots_;
    int cold_slots_;
    int cold_completions_;
    double cold_factor_;
    bool sheds_;
    int warm_after_; ///< completions that are left until it is warm
    bool draining_ = false;
    int in_flight_ = 0;
    std::optional<time_point> told_cold_;

    int max_in_flight_ = 0; ///< with what is refused
    int max_running_ = 0;
    int max_in_flight_cold_ = 0;
    std::uint64_t over_limit_ = 0;
    std::uint64_t cold_over_limit_ = 0;
    std::uint64_t cold_over_limit_told_ = 0;
    std::uint64_t started_ = 0;
    std::uint64_t completed_ = 0;
    std::uint64_t shed_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t expired_ = 0;
    std::uint64_t refused_expired_ = 0;
    std::uint64_t refused_draining_ = 0;
    std::uint64_t failed_fast_ = 0;
    std::uint64_t probes_ = 0;
    std::int64_t last_start_unix_ms_ = 0;
    std::int64_t last_offer_draining_unix_ms_ = 0;
    std::map<std::string, int> runs_;
};

} // namespace vanillapost::standin

#endif
