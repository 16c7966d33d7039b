#ifndef VANILLAPOST_APPS_ROUTER_REQUESTS_CRASH_GUARD_HPP
#define VANILLAPOST_APPS_ROUTER_REQUESTS_CRASH_GUARD_HPP

#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "vanillapost/attempts.hpp"
#include "vanillapost/src/io/event_loop.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillapost::router {

/// What becomes of requests under which targets end: connects
/// \ref crash_suspects with the log, the metrics and the peers.
class crash_guard
{
public:
    using report_handler = std::function<void(const crash_report&)>;
    using request_handler = std::function<void(const std::string& request)>;

    /// \param key   of \ref crash_suspects
    /// \param self  name of this instance, for the log
    crash_guard(io::event_loop& loop, router_metrics& metrics, router_log& log,
                std::uint64_t key, std::string self);

    /// \param handler  called with what this instance has seen itself
    void on_report(report_handler handler)
    {
        tell_ = std::move(handler);
    }

    /// \param handler  called with a request that is tried here again
    void on_trial(request_handler handler)
    {
        tell_trial_ = std::move(handler);
    }

    /// \param handler  called with a request that is suspected no longer
    void on_release(request_handler handler)
    {
        tell_release_ = std::move(handler);
    }

    crash_suspects& suspects()
    {
        return suspects_;
    }

    /// Whether the request may be sent to a target.
    crash_admission admit(const std::string& request);

    /// A target has answered the request, and not with a failure.
    void on_answered(const std::string& request);

    /// A target refuses connections.
    void on_connection_refused(const target_id& target);

    /// A peer has seen a target end under a request.
    void on_peer_report(const crash_report& report, std::string_view peer);

    /// An operator says here that a request does no harm any more.
    /// \return whether it was known
    bool release(const std::string& request);

    /// A peer tries a request again.
    void on_peer_trial(const std::string& request);

    /// A peer has found that a request does no harm, or an operator has said it
    /// there.
    void on_peer_release(const std::string& request, std::string_view peer);

    /// What an instance that has just started has to know.
    std::vector<crash_report> held_reports() const;

    /// Identities of the requests that are held back.
    std::vector<std::string> held_requests() const;

private:
    void take(const crash_report& report, std::string_view seen_by);
    void log_release(const std::string& request, std::string_view told_by);

    io::event_loop& loop_;
    router_metrics& metrics_;
    router_log& log_;
    std::string self_;
    crash_suspects suspects_;
    report_handler tell_;
    request_handler tell_trial_;
    request_handler tell_release_;
};

} // namespace vanillapost::router

#endif
