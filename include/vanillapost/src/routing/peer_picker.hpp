#ifndef VANILLAPOST_SRC_ROUTING_PEER_PICKER_HPP
#define VANILLAPOST_SRC_ROUTING_PEER_PICKER_HPP

#include "../base/identifier.hpp"
#include "../base/random.hpp"
#include "../base/time.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace vanillapost {

struct peer_picker_settings
{
    data_centre_id own_data_centre;
    /// Age at which a report of free slots is worth half.
    duration half_life = std::chrono::milliseconds(500);
    /// Age of a status message after which nothing is guessed from it.
    duration status_life = std::chrono::seconds(8);
    /// Forwards sent this long before a report may be missing from it.
    duration report_lag = std::chrono::milliseconds(5);
    /// How long a peer that said it is full is passed over.
    duration full_backoff = std::chrono::milliseconds(20);
    /// How long a peer that could not be reached is passed over.
    duration failure_backoff = std::chrono::milliseconds(500);
    double local_preference = 2; ///< weight of a peer in this data centre
};

/// How a peer answered a forwarded request.
enum class forward_result
{
    placed, ///< it passed the request on, whatever the outcome
    full,   ///< `Not-Placed: full`
    failed, ///< it could not be reached, or broke off
};

/// Chooses the peer that a request is forwarded to, by the free slots that it
/// last reported less the forwards sent to it since.
class peer_picker
{
public:
    explicit peer_picker(const peer_picker_settings& settings);

    /// A peer's `status` message.
    void on_status(const entry_id& peer, const data_centre_id& data_centre,
                   bool leaving, const std::map<service_id, int>& free,
                   time_point now);

    /// A peer said, with an answer, how many slots of a service it has free.
    void on_free_slots(const entry_id& peer, const service_id& service,
                       int free, time_point now);

    /// A request was forwarded.
    void on_forward(const entry_id& peer, const service_id& service,
                    time_point now);

    void on_result(const entry_id& peer, const service_id& service,
                   forward_result result, time_point now);

    void remove(const entry_id& peer);

    /// Picks a peer with free slots, at random in proportion to them.
    ///
    /// \param tried  peers to leave out
    std::optional<entry_id> pick(const service_id& service,
                                 std::span<const entry_id> tried,
                                 time_point now, random_engine& random) const;

    /// Free slots that a peer is thought to have at `now`.
    double estimated_free(const entry_id& peer, const service_id& service,
                          time_point now) const;

private:
    struct service_view
    {
        bool holds = false; ///< the last status named the service
        int free = 0;
        time_point reported_at{};
        std::vector<time_point> sent; ///< open forwards after the report
        time_point passed_over_until{};
    };
    struct peer_view
    {
        data_centre_id data_centre;
        bool leaving = false;
        time_point status_at{};
        time_point passed_over_until{};
        std::map<service_id, service_view> services;
    };

    void take_report(service_view& state, int free, time_point now);
    double told_free(const service_view& state, time_point now) const;

    peer_picker_settings settings_;
    std::map<entry_id, peer_view> peers_;
};

} // namespace vanillapost

#endif
