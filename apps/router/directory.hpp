#ifndef VANILLAPOST_APPS_ROUTER_DIRECTORY_HPP
#define VANILLAPOST_APPS_ROUTER_DIRECTORY_HPP

#include "knowledge.hpp"
#include "platform_language.hpp"
#include "state_controller.hpp"
#include "vanillapost/io.hpp"

#include <functional>
#include <prometheus/registry.h>

namespace vanillapost::router {

/// Answers that need no target: addresses for callers, readiness, metrics,
/// and state for peers.
class directory
{
public:
    directory(io::event_loop& loop, knowledge& known,
              const state_controller& state, const platform_language& language,
              const prometheus::Registry& metrics, duration answer_lifetime,
              random_engine random);

    /// Serves everything at each of these; an address that stands twice is
    /// bound once.
    /// \throws error  when an address cannot be bound
    void listen(const std::vector<io::address>& addresses);

    /// Whether this instance takes requests.
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
    void tell_addresses(io::server_exchange& exchange);
    void tell_state(io::server_exchange& exchange);

    io::event_loop& loop_;
    knowledge& known_;
    const state_controller& state_;
    const platform_language& language_;
    const prometheus::Registry& metrics_;
    duration answer_lifetime_;
    random_engine random_;
    bool ready_ = false;
    std::vector<std::unique_ptr<io::http_server>> servers_;
};

} // namespace vanillapost::router

#endif
