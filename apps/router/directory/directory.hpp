#ifndef VANILLAPOST_APPS_ROUTER_DIRECTORY_DIRECTORY_HPP
#define VANILLAPOST_APPS_ROUTER_DIRECTORY_DIRECTORY_HPP

#include "adapters/platform_adapter.hpp"
#include "requests/crash_guard.hpp"
#include "state/cluster_view.hpp"
#include "state/state_controller.hpp"
#include "vanillapost/io.hpp"

#include <functional>
#include <optional>
#include <prometheus/registry.h>

namespace vanillapost::router {

/// An answer of the directory.
struct directory_answer
{
    int status = 200;
    std::string content_type;
    std::string body;
};

/// Serves the router's own paths, which need no target: addresses of instances
/// for callers, readiness, health, status, metrics, and state for peers; to
/// operators on the same machine, requests that are held back.
class directory
{
public:
    directory(io::event_loop& loop, cluster_view& cluster,
              const state_controller& state, const platform_adapter& adapter,
              const prometheus::Registry& metrics, crash_guard& crashes,
              duration answer_lifetime, io::client_ledger& clients,
              random_engine random);

    /// Serves all paths at each of these addresses. An address that is listed
    /// twice is bound once; one without an IP number is skipped.
    /// \throws error  when an address cannot be bound
    void listen(const std::vector<io::address>& addresses);

    /// The answer for a path that is served here; nothing for any other path.
    /// \param target  path and query
    std::optional<directory_answer> answer(std::string_view target);

    /// Sets whether this instance takes requests.
    void set_ready(bool ready)
    {
        ready_ = ready;
    }

    void set_answer_lifetime(duration value)
    {
        answer_lifetime_ = value;
    }

private:
    void handle(std::unique_ptr<io::server_exchange> exchange);
    directory_answer make_addresses_answer(std::string_view query);
    directory_answer make_state_answer(std::string_view query);
    bool may_send_large_state();
    directory_answer make_status_answer() const;
    std::optional<directory_answer>
    answer_operator(const io::server_exchange& exchange);
    bool is_own_machine(std::string_view peer) const;
    directory_answer make_held_answer() const;
    directory_answer release_held(const std::string& request);

    io::event_loop& loop_;
    cluster_view& cluster_;
    const state_controller& state_;
    const platform_adapter& adapter_;
    const prometheus::Registry& metrics_;
    crash_guard& crashes_;
    duration answer_lifetime_;
    io::client_ledger& clients_;
    random_engine random_;
    std::vector<time_point> large_states_sent_; ///< times of recent ones
    bool ready_ = false;
    std::string own_ip_; ///< at which this instance listens
    std::vector<std::unique_ptr<io::http_server>> servers_;
};

} // namespace vanillapost::router

#endif
