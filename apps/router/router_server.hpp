#ifndef VANILLAPOST_APPS_ROUTER_ROUTER_SERVER_HPP
#define VANILLAPOST_APPS_ROUTER_ROUTER_SERVER_HPP

#include "directory/directory.hpp"
#include "peers/peer_controller.hpp"
#include "requests/request_engine.hpp"

namespace vanillapost::router {

/// The adapter and the clients through which a router uses its platform.
struct platform_parts
{
    platform_adapter adapter;
    /// Client of the table in which bookings are claimed; null if the platform
    /// has no such table.
    std::unique_ptr<io::platform_client> table;
    std::unique_ptr<io::row_store> store;
};

/// A complete router: connects its parts, starts and stops them.
class router_server
{
public:
    /// \throws error  when an address cannot be bound
    router_server(io::event_loop& loop, const router_settings& settings,
                  platform_parts& platform, std::uint64_t seed);

    void start();

    /// Applies changed settings. Only the log level, the log rate limit and the
    /// directory's answer lifetime change at once; the rest needs a restart.
    void apply(const router_settings& settings);

    /// Shuts down gracefully: informs callers and peers, finishes the requests
    /// that were read, and stops the loop.
    void leave();

private:
    void handle(std::unique_ptr<io::caller_exchange> exchange);
    void connect_crash_reports();
    void report_callback_failure(const io::callback_failure& failure);
    void log_malformed_row(std::string_view table, const malformed_row& row);
    void check();
    void check_leaving(time_point now);
    void update_metrics(time_point now);
    void report_closings(time_point now);

    io::event_loop& loop_;
    const platform_adapter& adapter_;
    router_settings settings_;
    router_log log_;
    router_metrics metrics_;
    random_engine random_;
    cluster_view cluster_;
    state_controller state_;
    peer_controller peers_;
    request_engine engine_;
    std::unique_ptr<idempotency_claims> claims_;
    io::client_ledger clients_;
    directory directory_;
    io::caller_server callers_;
    io::timer check_timer_;
    bool ready_ = false;
    bool accepting_stopped_ = false; ///< no connections are accepted any more
    std::optional<shutdown_plan> shutdown_; ///< set once it is to stop
    caller_limits limits_;
    std::uint64_t closings_reported_ = 0;
    time_point closings_reported_at_{};
};

} // namespace vanillapost::router

#endif
