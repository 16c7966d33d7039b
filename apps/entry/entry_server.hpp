#ifndef VANILLAPOST_APPS_ENTRY_ENTRY_SERVER_HPP
#define VANILLAPOST_APPS_ENTRY_ENTRY_SERVER_HPP

#include "call_engine.hpp"
#include "entry_metrics.hpp"
#include "entry_settings.hpp"
#include "holds_controller.hpp"
#include "peer_controller.hpp"
#include "probe_controller.hpp"
#include "records_controller.hpp"
#include "target_controller.hpp"

#include "vanillapost/holds.hpp"
#include "vanillapost/io.hpp"

#include <memory>
#include <string>

namespace vanillapost::entry {

/// One entry: its parts, its HTTP routes and its way from start to end.
class entry_server
{
public:
    entry_server(io::event_loop& loop, const entry_settings& settings,
                 entry_incarnation self);

    /// Binds the addresses and starts to take part.
    /// \throws error  when an address cannot be bound
    void start();

    /// Hands over all targets, finishes what is in flight, then stops the
    /// loop.
    void leave();

private:
    void handle(std::unique_ptr<io::server_exchange> exchange);
    void name_entries(io::server_exchange& exchange);
    void reply_status(io::server_exchange& exchange);
    void reply_ready(io::server_exchange& exchange);
    void reply_metrics(io::server_exchange& exchange);
    void on_message(const entry_incarnation& from,
                    const nlohmann::json& message);
    void on_peer_up(const entry_incarnation& peer);
    void on_peer_down(const entry_incarnation& peer);
    void on_peer_ended(const entry_incarnation& peer);
    void on_records();
    void on_holds();
    void register_self();
    void read_list();
    void on_list(const instance_list& list, time_point asked_at);
    void follow_members();
    void tick();
    void leave_if_drained();
    bool settled() const;
    own_status status();
    bool send(const entry_id& peer, const nlohmann::json& message);

    io::event_loop& loop_;
    entry_settings settings_;
    entry_incarnation self_;
    hold_settings timing_;
    random_engine random_;
    entry_metrics metrics_;
    io::platform_client platform_;
    io::mesh mesh_;
    hold_controller holds_;
    peer_controller peers_;
    records_controller records_;
    target_controller targets_;
    probe_controller probes_;
    holds_controller holds_io_;
    call_engine calls_;
    io::http_server http_;
    io::timer pump_timer_;
    io::timer tick_timer_;
    io::timer list_timer_;
    io::timer leave_timer_;
    std::uint64_t seen_members_ = 0;
    std::uint64_t seen_records_ = 0;
    bool registering_ = false;
    bool registered_ = false;
    bool leaving_ = false;
    bool stopped_accepting_ = false;
    time_point started_at_{};
    time_point leaving_since_{};
};

} // namespace vanillapost::entry

#endif
