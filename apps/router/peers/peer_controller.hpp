#ifndef VANILLAPOST_APPS_ROUTER_PEERS_PEER_CONTROLLER_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_PEER_CONTROLLER_HPP

#include "peers/change_relay.hpp"
#include "peers/departure_relay.hpp"
#include "peers/greeter.hpp"
#include "peers/member_watch.hpp"
#include "peers/rate_limit_relay.hpp"
#include "peers/state_question.hpp"
#include "reporting/router_log.hpp"
#include "state/knowledge.hpp"
#include "state/state_controller.hpp"
#include "vanillapost/src/io/datagram_socket.hpp"

namespace vanillapost::router {

/// Tells peers that this instance lives and hears the same of them; passes
/// changes of the store on, and asks peers for those that it missed.
///
/// Up to some members everybody sends heartbeats to everybody. In a larger
/// fleet only readers do, and others are probed (\ref member_watch); all still
/// send one when something changes.
///
/// Heartbeats and changes are datagrams with CBOR. A lost heartbeat is
/// replaced by the next, a lost change shows in the next heartbeat, and no
/// connection can go silent.
class peer_controller
{
public:
    /// \param seeds  query addresses of some peers, which may be stale
    peer_controller(io::event_loop& loop, const io::address& where,
                    std::vector<std::string> seeds, knowledge& known,
                    state_controller& state, router_metrics& metrics,
                    router_log& log, random_engine random);

    void start();

    /// Whether this instance takes requests; told at once.
    void set_ready(bool ready);

    /// Tells peers that this instance ends.
    void leave();

    /// Passes changes on that were read from the store here.
    void pass_on(shared_table which, const state_difference& difference);

    /// A target told this instance that it leaves.
    void on_target_leaving(const target_id& id, std::int64_t born)
    {
        departures_.on_told(id, born);
    }

    /// A target told this instance something new of the rate that it takes.
    void on_rate_limit(const target_id& id, rate_limit_news news)
    {
        limits_.on_told(id, news);
    }

private:
    void join();
    void beat();
    void keep_in_touch();
    void send(std::string_view kind, const member& to, std::string_view bytes);
    void answer(std::string_view kind, const io::address& to,
                std::string_view bytes);
    void send_to_peers(std::string_view kind, const nlohmann::json& message);
    void send_heartbeat();
    void send_heartbeat_once();
    void send_probe_to(const member& to);
    void send_sign_of_life(const io::address& to, bool held_dead);
    void send_hello(const io::address& to, bool ask);
    void take_datagram(const io::address& from, std::string_view bytes);
    void take_message(const io::address& from, const nlohmann::json& message);
    void take_hello(const io::address& from, const nlohmann::json& message);
    void take_heartbeat(const io::address& from, const nlohmann::json& message);
    void choose_source();
    void ask_if_behind();
    void ask_peer_at(const io::address& where);
    void read_if_untold();
    void note_answer(question_end how);
    void compare_view(const member_heartbeat& heartbeat);
    void keep_member_list();
    member_heartbeat make_heartbeat() const;
    member_heartbeat make_heartbeat_with_view() const;
    nlohmann::json with_limits(const member_heartbeat& heartbeat);
    duration interval() const;

    io::event_loop& loop_;
    knowledge& known_;
    state_controller& state_;
    router_metrics& metrics_;
    router_log& log_;
    random_engine random_;
    io::datagram_socket socket_;
    departure_relay departures_;
    rate_limit_relay limits_;
    member_watch watch_;
    change_relay changes_;
    state_question question_;
    io::timer join_timer_;
    io::timer beat_timer_;
    io::timer ask_timer_;
    io::timer repeat_timer_;
    io::timer untold_timer_;
    greeter greeter_;
    reader_choice reader_;
    time_point started_{};
    std::optional<time_point> members_read_at_;
    bool ready_ = false;
    bool leaving_ = false;
    std::vector<member> listed_; ///< as last left in the store
    time_point listed_at_{};
    bool was_large_ = false;
    bool members_told_ = false; ///< by a peer, since the start
    bool was_greeted_ = false;  ///< by any peer since the start
    int other_views_ = 0;       ///< in a row
    time_point view_asked_at_{};
};

} // namespace vanillapost::router

#endif
