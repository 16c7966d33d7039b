#ifndef VANILLAPOST_APPS_ROUTER_STATE_STATE_CONTROLLER_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_STATE_CONTROLLER_HPP

#include "adapters/platform_adapter.hpp"
#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "state/cluster_view.hpp"
#include "state/outage_detector.hpp"
#include "state/replicated_table.hpp"
#include "state/restored_rows.hpp"
#include "state/revision_clock.hpp"
#include "state/state_table.hpp"
#include "vanillapost/src/io/table_follower.hpp"

#include <memory>
#include <span>
#include <vector>

namespace vanillapost::router {

/// Keeps `cluster_view` up to date with the platform's store, which it follows
/// itself or of whose changes peers tell it. Rows that cannot be parsed are
/// left out.
class state_controller
{
public:
    /// Called with changes that were read from the store here.
    using change_handler =
        std::function<void(replicated_table, const state_difference&)>;

    state_controller(io::event_loop& loop, io::row_store& store,
                     const platform_adapter& adapter, cluster_view& cluster,
                     router_metrics& metrics, router_log& log,
                     random_engine random, duration drain_time,
                     change_handler on_change);

    void follow_store();
    void stop_following();

    /// Reads the tables of which nothing is known yet, once, without following
    /// them. For when peers are too busy to send their state.
    void read_once();

    /// Whether all tables that requests need are known, read here or received.
    bool is_complete() const;

    bool is_following() const
    {
        return following_;
    }

    /// Whether the store could last be reached. Without a further attempt the
    /// result expires, and the store counts as untried.
    store_access access() const;

    state_revisions revisions() const;

    /// A message with what an instance lacks that knows the tables up to
    /// `known`.
    nlohmann::json difference(const state_revisions& known,
                              bool with_members) const;

    /// Applies the state that a peer has sent.
    /// \param peer  the sender, for the log
    /// \throws error  when it cannot be parsed
    void merge(const nlohmann::json& difference, std::string_view peer);

    /// Applies changes of one table.
    /// \return whether a row was new
    bool merge(replicated_table which, const state_difference& difference,
               std::string_view peer);

    /// The revisions of a table that exist, as far as is known, and are missing
    /// here, the oldest first; none while nothing of the table is known.
    std::vector<revision_span> gaps(replicated_table which) const;

    /// The changes in `spans`, which a peer lacks, that are known here.
    std::vector<state_difference>
    changes_within(replicated_table which,
                   std::span<const revision_span> spans) const;

    /// Has to be called when a peer says up to which revisions it knows the
    /// tables.
    void on_peer_revisions(const state_revisions& revisions);

    /// Whether the store was restored, as a peer says, and the rows that it has
    /// since then are not all known here.
    bool lacks_restored_copy() const;

    /// How often the store was restored, as far as is known.
    std::uint64_t store_epoch() const;

    /// Whether nothing of a table is known, or a change of it has been missing
    /// for at least `limit`.
    bool is_late(duration limit) const;

    /// Updates the metric of lateness, and logs once when a table begins to be
    /// late.
    void report_lateness();

    /// Adds the member that a peer describes itself as.
    /// \throws error  when the description cannot be parsed, or its addresses
    ///                cannot be connected to
    void add_member(const nlohmann::json& document);

    /// Whether no newer configuration can be in force, as far as this instance
    /// and the live peers know.
    bool has_newest_configuration();

    /// Reads the list of members that instances write to the store.
    void read_members();

    /// Writes the list of members to the store, for instances that know none.
    void write_members();

    /// Calls `handler` with all roll-outs that are ordered, whenever the
    /// operators' rows have changed.
    void on_rollouts(
        std::function<void(const std::map<service_id, rollout_order>&)> handler)
    {
        on_rollouts_ = std::move(handler);
    }

private:
    struct table
    {
        std::string name;
        state_table state;
        revision_clock clock;
        /// Targets' rows have versions: their start and sequence number.
        restored_rows restored{true};
        bool lateness_reported = false; ///< in the log
        /// Each row can be parsed without the others.
        bool rows_are_independent = true;
        std::unique_ptr<io::table_follower> follower;
        void (state_controller::*apply_rows)(
            const std::vector<io::store_row>&) = nullptr;
    };

    /// The tables that this platform has: operators may list the targets.
    std::vector<const table*> followed_tables() const
    {
        if (targets_.follower)
            return {&operators_, &targets_};
        return {&operators_};
    }

    table& table_of(replicated_table which)
    {
        return which == replicated_table::operators ? operators_ : targets_;
    }

    const table& table_of(replicated_table which) const
    {
        return which == replicated_table::operators ? operators_ : targets_;
    }

    void set_up(replicated_table which, const std::string& name,
                io::row_store& store, random_engine random);
    /// \param peer  the sender; empty for the store
    bool apply(replicated_table which, const state_difference& difference,
               std::string_view peer);
    static bool is_restored(const table& of,
                            const state_difference& difference);
    void log_restored(const table& of, std::uint64_t before,
                      std::string_view peer);
    void apply_held_rows();
    void update_relisting(const state_difference& difference,
                          bool is_from_store);
    void notify_change(replicated_table which,
                       const state_difference& read_change,
                       std::uint64_t before, bool restored,
                       const std::vector<io::store_row>& changed);
    void add_timing(replicated_table which, state_difference& difference) const;
    void log_caught_up(table& each, std::string_view peer);
    void log_applied_rows(const table& changed_table, std::uint64_t before,
                          std::size_t rows, std::string_view peer);
    void log_ignored_rows(const table& of, const state_difference& difference,
                          std::uint64_t known);
    void apply_operator_rows(const std::vector<io::store_row>& changed);
    void adopt(configuration config);
    void replace_targets(std::vector<listed_target> targets);
    void apply_evacuations(std::set<data_centre_id> evacuated);
    void apply_target_rows(const std::vector<io::store_row>& changed);
    void remove_target(const io::store_row& row);
    void apply_target_row(const io::store_row& row);
    void refresh_placement();
    nlohmann::json members_to_json() const;
    void add_listed_member(const nlohmann::json& document);
    void add_listed_members(const nlohmann::json& list);
    void apply_member_rows(const std::vector<io::store_row>& rows);
    void record_access(bool works);
    void log_failure(std::string_view event, const std::string& key,
                     std::string_view reason);
    void log_unreadable_row(const table& from, std::string_view event,
                            const std::string& key, std::string_view reason);

    io::event_loop& loop_;
    io::row_store& store_;
    duration late_after_; ///< a table that is late for this long is logged
    const platform_adapter& adapter_;
    cluster_view& cluster_;
    router_metrics& metrics_;
    router_log& log_;
    change_handler on_change_;
    std::function<void(const std::map<service_id, rollout_order>&)>
        on_rollouts_;
    table operators_;
    table targets_;
    io::timer removal_timer_;
    io::timer refresh_timer_;
    io::timer restored_timer_;
    bool refresh_is_due_ = false;
    time_point read_once_at_{};
    std::shared_ptr<bool> alive_; ///< false once destroyed; held by callbacks
    outage_detector outage_;
    bool following_ = false;
    bool store_works_ = false;
    table_freshness freshness_;
    std::optional<time_point> store_tried_at_;
};

} // namespace vanillapost::router

#endif
