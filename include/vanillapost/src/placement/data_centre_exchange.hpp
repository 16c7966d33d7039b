#ifndef VANILLAPOST_SRC_PLACEMENT_DATA_CENTRE_EXCHANGE_HPP
#define VANILLAPOST_SRC_PLACEMENT_DATA_CENTRE_EXCHANGE_HPP

#include "data_centre_room.hpp"
#include "exchange_settings.hpp"
#include "round_trip_estimator.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace vanillapost {

/// Why a request left its data centre.
enum class leaving_cause
{
    short_here, ///< too few of the targets here are free
    slow_here,  ///< targets here are free, but clearly slower
    few_here,   ///< few targets here, and one elsewhere costs less
    none_here,  ///< no target here can be used
};

/// "short here", "slow here", "few here" or "none here".
std::string_view to_string(leaving_cause cause);

/// Where a request may go besides its own data centre.
struct leaving_permit
{
    leaving_cause cause = leaving_cause::none_here;
    std::vector<data_centre_id> destinations;
    /// What a target elsewhere must cost less than one here, in service times.
    double min_gain = 0;
};

/// The properties of a request on which leaving depends.
struct leaving_request
{
    service_id service;
    double work_us = 0;   ///< service time, idle target at normal speed
    double budget_us = 0; ///< time left for its response to be in time
    /// No more targets are probed before this choice.
    bool final_choice = true;
};

/// A service has begun to send requests to other data centres, or has ended.
struct leaving_change
{
    service_id service;
    std::optional<leaving_cause> began; ///< nullopt: it has ended
};

/// Decides when requests leave their data centre, and how many.
///
/// State is bounded by the services and the data centres that have targets.
class data_centre_exchange
{
public:
    /// Time without a request that leaves after which leaving has ended.
    static constexpr duration quiet_time = std::chrono::seconds(5);

    data_centre_exchange(exchange_settings settings, data_centre_id here);

    /// Forgets services and data centres that have no targets any more.
    void retain(const std::set<service_id>& services,
                const std::set<data_centre_id>& data_centres);

    /// \param instances  that share what is free elsewhere, here; with this one
    void set_instances(std::size_t instances);

    /// Records a round trip of a probe to a target there.
    void on_round_trip(const data_centre_id& there, duration taken,
                       time_point now);

    /// Time that a round trip there takes longer than one here; the initial one
    /// until both are known.
    duration delay_to(const data_centre_id& there) const;

    /// Whether and where to a request may leave; nullopt if it stays.
    /// \param rooms  of its service; one without targets may be missing
    std::optional<leaving_permit>
    decide(const leaving_request& request,
           std::span<const data_centre_room> rooms, time_point now);

    /// A request that may leave has been sent to another data centre.
    void on_left(const service_id& service, const data_centre_id& there,
                 leaving_cause cause, time_point now);

    /// The changes since the last call, at most two for each service in each
    /// `quiet_time`.
    std::vector<leaving_change> take_changes(time_point now);

private:
    // Requests that may still be sent to a data centre.
    struct allowance
    {
        double left = 0;
        time_point filled_at{};
    };

    struct service_state
    {
        bool is_short = false;
        bool is_leaving = false;
        time_point left_at{};
        std::map<data_centre_id, allowance> allowances;
    };

    void update_short(service_state& state, double free_share) const;
    std::optional<leaving_permit> weigh(const leaving_request& request,
                                        service_state& state,
                                        const data_centre_room& here,
                                        std::span<const data_centre_room> rooms,
                                        time_point now) const;
    bool has_room(const service_state& state, const data_centre_room& here,
                  const data_centre_room& there) const;
    bool has_allowance(service_state& state, const data_centre_room& there,
                       double senders, time_point now) const;

    exchange_settings settings_;
    data_centre_id here_;
    std::size_t instances_ = 1;
    std::map<data_centre_id, round_trip_estimator> round_trips_;
    std::map<service_id, service_state> services_;
    std::vector<leaving_change> changes_;
};

} // namespace vanillapost

#endif
