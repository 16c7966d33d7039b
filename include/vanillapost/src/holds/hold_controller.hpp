#ifndef VANILLAPOST_SRC_HOLDS_HOLD_CONTROLLER_HPP
#define VANILLAPOST_SRC_HOLDS_HOLD_CONTROLLER_HPP

#include "../base/random.hpp"
#include "../membership/liveness.hpp"
#include "assignment.hpp"
#include "confirmation.hpp"
#include "heartbeat_watch.hpp"
#include "hold_action.hpp"
#include "hold_settings.hpp"
#include "hold_share.hpp"
#include "hold_table.hpp"
#include "hold_target.hpp"
#include "hold_write.hpp"
#include "promise_book.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace vanillapost {

namespace detail {
class hold_planner;
}

/// Decides which targets this entry holds and how much of each it may use.
///
/// Events and the time come in, actions are taken out with
/// \ref take_actions after each event. Every read and transaction that is
/// taken out has to be answered exactly once; the I/O layer ends one that
/// stays unanswered with \ref platform_unavailable.
///
/// \note Call \ref tick at least every 100 ms, and only after the entry has
///       registered with the platform.
/// \warning The time handed in with an event must not be older than the
///          event: read the clock after the message has arrived.
/// \warning In-flight counts have to be exact: call \ref set_in_flight on
///          every start and end of a request, before any other call.
/// \see docs/design/holds.md
class hold_controller
{
public:
    hold_controller(entry_incarnation self, data_centre_id data_centre,
                    const hold_settings& settings, std::uint64_t seed);

    // Events.

    void tick(time_point now);
    void set_targets(std::span<const hold_target> targets, time_point now);
    void set_in_flight(const target_id& target, int requests);
    /// \param asked_at  before the list was asked for
    void on_instance_list(const instance_list& list, time_point asked_at,
                          time_point now);
    void on_peer_up(const entry_incarnation& peer, time_point now);
    void on_peer_ended(const entry_incarnation& peer, time_point now);
    void on_hint(time_point now);
    void on_promise_ask(const entry_incarnation& from, std::uint64_t id,
                        time_point now);
    void on_promise(const entry_incarnation& from, std::uint64_t id,
                    bool granted, time_point now);
    void on_row(table_request_id id, const platform_result<table_row>& result,
                time_point now);
    void on_changes(table_request_id id,
                    const platform_result<table_changes>& result,
                    time_point now);
    void on_transact(table_request_id id, const transaction_result& result,
                     time_point now);

    /// Hands all targets over; \ref drained_to_leave says when it is done.
    void start_leaving(time_point now);

    /// What the I/O layer has to do, in order.
    std::vector<hold_action> take_actions();

    // Queries.

    /// How much of the target's limit may be in flight from this entry.
    ///
    /// \param limit  requests in flight that the target bears now
    hold_share share(const target_id& target, int limit, time_point now) const;

    /// Targets whose row names this entry as holder.
    std::vector<target_id> held_targets() const;

    /// The holder of a target as last read, for routing.
    std::optional<entry_incarnation> holder_of(const target_id& target) const;

    /// Whether no target depends on this entry any more.
    bool drained_to_leave() const;

    /// Whether the platform or a successor confirms the holds now.
    bool confirmed(time_point now) const;

    /// Whether another process under this name is running; this one has to
    /// end.
    bool superseded() const
    {
        return confirmation_.superseded();
    }

    /// All hold rows as last read, for the status page.
    const std::map<target_id, known_hold>& rows() const
    {
        return table_.rows();
    }

    /// Writes without a final answer.
    std::size_t unresolved_writes() const
    {
        return pending_.size();
    }

    const liveness& members() const
    {
        return members_;
    }

private:
    friend class detail::hold_planner;

    void start_confirmation(time_point now);
    void start_read_changes();
    void start_watch_reads(time_point now);
    void ask_promises(time_point now);
    void plan(time_point now);
    void submit(const hold_write& write);
    void resubmit(time_point now);
    void send(pending_hold_write& pending);
    void on_heartbeat_answer(const transaction_result& result, time_point now);
    void on_write_answer(pending_hold_write& pending,
                         const transaction_result& result, time_point now);
    void finish_write(const hold_write& write, revision at);
    void apply_rows(std::span<const table_row> rows, time_point now);
    void apply_row(const table_row& row, time_point now);
    void drop_settled_write(const target_id& target);
    void hint_named(const hold_write& write);
    void update_assignment();
    void note_missing_records(time_point now);
    bool may_promise(const entry_incarnation& to) const;
    bool withdrawn(const target_id& target, time_point now) const;
    bool platform_confirms(time_point now) const;
    time_point exclusive_until(const hold_row& row) const;
    bool promise_outlasts_confirmation(const hold_row& row) const;
    hold_share holder_share(const hold_row& row, int limit,
                            time_point now) const;
    int in_flight(const target_id& target) const;
    std::vector<listed_instance> live_entries() const;

    entry_incarnation self_;
    data_centre_id data_centre_;
    hold_settings settings_;
    random_engine random_;

    liveness members_;
    hold_table table_;
    confirmation confirmation_;
    heartbeat_watch heartbeats_;
    promise_book promises_;

    std::map<target_id, hold_target> targets_;
    bool targets_known_ = false;
    std::map<target_id, time_point> missing_since_;
    std::map<target_id, time_point> unheld_since_;
    std::map<target_id, int> in_flight_;
    std::set<target_id> moving_;
    std::map<target_id, pending_hold_write> pending_;
    std::uint64_t last_write_ = 0;

    assignment assignment_;
    std::uint64_t assigned_version_ = 0;
    bool targets_changed_ = true;

    table_request_id last_request_ = 0;
    table_request_id heartbeat_request_ = 0;
    table_request_id changes_request_ = 0;
    std::map<table_request_id, entry_id> watch_requests_;
    std::map<table_request_id, target_id> write_requests_;

    revision changes_since_ = 0;
    bool changes_known_ = false;
    bool changes_again_ = false;
    std::optional<time_point> changes_confirm_from_;

    time_point next_watch_{};
    time_point next_scan_{};
    bool leaving_ = false;

    std::vector<hold_action> actions_;
};

} // namespace vanillapost

#endif
