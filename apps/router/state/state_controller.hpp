#ifndef VANILLAPOST_APPS_ROUTER_STATE_STATE_CONTROLLER_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_STATE_CONTROLLER_HPP

#include "languages/platform_language.hpp"
#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "state/knowledge.hpp"
#include "state/news_clock.hpp"
#include "state/outage_watch.hpp"
#include "state/shared_table.hpp"
#include "state/state_table.hpp"
#include "vanillapost/src/io/table_follower.hpp"

#include <memory>
#include <span>
#include <vector>

namespace vanillapost::router {

/// Keeps the knowledge up to date with the platform's store, which it follows
/// itself or hears of from peers. Rows that cannot be read are left out.
class state_controller
{
public:
    /// Called with changes that were read from the store here.
    using change_handler =
        std::function<void(shared_table, const state_difference&)>;

    state_controller(io::event_loop& loop, io::row_store& store,
                     const platform_language& language, knowledge& known,
                     router_metrics& metrics, router_log& log,
                     random_engine random, duration drain_time,
                     change_handler on_change);

    void follow_store();
    void stop_following();

    /// Reads the tables that are not known at all, and follows none. For when
    /// peers have no time to tell them.
    void read_once();

    /// Whether all tables are known that requests need.
    bool is_complete() const;

    bool is_following() const
    {
        return following_;
    }

    /// What was last found of the store; forgotten after a while without
    /// asking.
    store_access access() const;

    state_revisions revisions() const;

    /// What an instance lacks that knows the tables up to `known`, as a
    /// message.
    nlohmann::json difference(const state_revisions& known,
                              bool with_members) const;

    /// Takes over what a peer knows.
    /// \param peer  whom it comes from, for the log
    /// \throws error  when it cannot be read
    void merge(const nlohmann::json& difference, std::string_view peer);

    /// Takes over changes of one table.
    /// \return whether a row was new
    bool merge(shared_table which, const state_difference& difference,
               std::string_view peer);

    /// The changes of a table that are known to exist and are missing here,
    /// the oldest first; none while the table is not known at all.
    std::vector<revision_span> gaps(shared_table which) const;

    /// What is known here of changes that a peer lacks.
    std::vector<state_difference>
    within(shared_table which, std::span<const revision_span> spans) const;

    /// A peer knows the tables up to these revisions.
    void note_known(const state_revisions& told);

    /// Whether a table is not known at all, or has lacked a change for so long.
    bool is_late(duration limit) const;

    /// Reports whether this instance lacks changes for long.
    void watch_lateness();

    /// Takes a member that names itself.
    /// \throws error  when it cannot be read, or cannot be reached as it says
    void add_member(const nlohmann::json& document);

    /// Whether no newer configuration can be in force, as far as anybody who
    /// is heard knows.
    bool knows_newest();

    /// Reads the list of members that an instance left in the store.
    void read_members();

    /// Leaves the list of members for instances that know none.
    void write_members();

private:
    struct table
    {
        std::string name;
        state_table state;
        news_clock clock;
        bool told_late = false; ///< in the log
        /// Each row can be read without the others.
        bool rows_stand_alone = true;
        std::unique_ptr<io::table_follower> follower;
        void (state_controller::*take)(const std::vector<io::store_row>&) =
            nullptr;
    };

    /// The tables that this platform has.
    std::vector<const table*> followed_tables() const
    {
        if (targets_.follower)
            return {&operators_, &targets_};
        return {&operators_};
    }

    table& table_of(shared_table which)
    {
        return which == shared_table::operators ? operators_ : targets_;
    }

    const table& table_of(shared_table which) const
    {
        return which == shared_table::operators ? operators_ : targets_;
    }

    void set_up(shared_table which, const std::string& name,
                io::row_store& store, random_engine random);
    /// \param peer  whom it comes from; empty: the store
    bool apply(shared_table which, const state_difference& difference,
               std::string_view peer);
    void note_outage(const state_difference& difference, bool is_own);
    void pass_on(shared_table which, const state_difference& read,
                 std::uint64_t before,
                 const std::vector<io::store_row>& changed);
    void fill_in(shared_table which, state_difference& told) const;
    void note_caught_up(table& each, std::string_view peer);
    void note_taken(const table& taken, std::uint64_t before, std::size_t rows,
                    std::string_view peer);
    void take_operator_rows(const std::vector<io::store_row>& changed);
    void adopt(configuration config);
    void take_targets(std::vector<listed_target> targets);
    void take_evacuated(std::set<data_centre_id> evacuated);
    void take_target_rows(const std::vector<io::store_row>& changed);
    void remove_target(const io::store_row& row);
    void take_target_row(const io::store_row& row);
    void finish_target_rows();
    nlohmann::json tell_members() const;
    void add_listed_member(const nlohmann::json& document);
    void add_listed_members(const nlohmann::json& list);
    void take_member_rows(const std::vector<io::store_row>& rows);
    void note_access(bool works);
    void report(std::string_view event, const std::string& key,
                std::string_view reason);
    void report_unreadable(const table& from, std::string_view event,
                           const std::string& key, std::string_view reason);

    io::event_loop& loop_;
    io::row_store& store_;
    duration late_after_; ///< lacking changes for so long is logged
    const platform_language& language_;
    knowledge& known_;
    router_metrics& metrics_;
    router_log& log_;
    change_handler on_change_;
    table operators_;
    table targets_;
    io::timer removal_timer_;
    io::timer refresh_timer_;
    bool refresh_is_due_ = false;
    time_point read_once_at_{};
    std::shared_ptr<bool> alive_; ///< false once destroyed; held by callbacks
    outage_watch outage_;
    bool following_ = false;
    bool works_ = false;
    freshness freshness_;
    std::optional<time_point> tried_at_;
};

} // namespace vanillapost::router

#endif
