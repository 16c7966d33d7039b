#ifndef VANILLAPOST_APPS_ENTRY_DISPATCHER_HPP
#define VANILLAPOST_APPS_ENTRY_DISPATCHER_HPP

#include "call.hpp"
#include "entry_metrics.hpp"
#include "peer_controller.hpp"
#include "target_controller.hpp"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillapost::entry {

/// What the owner of calls hears of attempts. Numbers name call and attempt;
/// either may have ended in the meantime.
struct attempt_events
{
    std::function<void(std::uint64_t, std::uint64_t, int status,
                       std::span<const io::header_field>)>
        on_headers;
    std::function<void(std::uint64_t, std::uint64_t, std::string_view)> on_data;
    std::function<void(std::uint64_t, std::uint64_t)> on_done;
    std::function<void(std::uint64_t, std::uint64_t, const io::call_failure&)>
        on_failure;
};

/// Places a call on a held target or a peer and sends it there.
class dispatcher
{
public:
    dispatcher(io::event_loop& loop, const entry_settings& settings,
               target_controller& targets, peer_controller& peers,
               entry_metrics& metrics, attempt_events events);

    /// Sends the call if there is a place for it.
    ///
    /// \param kind  "first", "retry" or "hedge", for the metrics
    /// \param wait  how long it would have to wait for a place otherwise
    bool dispatch(call& request, std::string_view kind, duration wait);

    /// Whether a call of the service would find a place now.
    bool has_place(const service_id& service);

    /// Takes an attempt that has ended out of its call and gives its slot
    /// back. Returns it for what is still to be read from it.
    attempt end(call& request, std::uint64_t number, const target_answer& how);

    /// Ends an attempt whose answer is not wanted, closing its connection.
    void cancel(call& request, std::uint64_t number);

private:
    std::optional<call_place> find_place(const call& request, duration wait);
    std::optional<target_place> place_on_target(const call& request);
    std::optional<entry_id> place_on_peer(const call& request);
    void send(call& request, attempt& sent);
    io::call_handlers handlers_for(const call& request, const attempt& sent);
    io::http_request request_for(const call& request, const attempt& sent);
    void retire(std::unique_ptr<io::http_call> ended);

    io::event_loop& loop_;
    const entry_settings& settings_;
    target_controller& targets_;
    peer_controller& peers_;
    entry_metrics& metrics_;
    attempt_events events_;
    /// Calls that end while one of their handlers runs; freed a turn later.
    std::vector<std::unique_ptr<io::http_call>> retired_;
};

} // namespace vanillapost::entry

#endif
