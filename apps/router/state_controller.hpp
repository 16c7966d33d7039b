#ifndef VANILLAPOST_APPS_ROUTER_STATE_CONTROLLER_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_CONTROLLER_HPP

#include "knowledge.hpp"
#include "platform_language.hpp"
#include "router_log.hpp"
#include "vanillapost/src/io/table_follower.hpp"

#include <memory>
#include <nlohmann/json.hpp>

namespace vanillapost::router {

/// Keeps the knowledge up to date with the platform's store: configuration,
/// evacuations, targets and members. Rows that cannot be read are left out.
class state_controller
{
public:
    state_controller(io::event_loop& loop, io::row_store& store,
                     const platform_language& language, knowledge& known,
                     router_log& log, random_engine random);

    void start();

    /// Withdraws this instance's row. Best effort: peers notice anyway.
    void leave();

    bool is_store_reachable() const;

    /// Newest change of the store that is known here.
    std::uint64_t revision() const;

    /// What is known, for a peer that cannot reach the store.
    nlohmann::json snapshot() const;

    /// Takes over what a peer knows and this instance does not.
    /// \throws error  when the snapshot cannot be read
    void merge(const nlohmann::json& snapshot);

private:
    struct table_state
    {
        std::map<std::string, io::store_row> rows;
        std::uint64_t revision = 0;
        std::unique_ptr<io::table_follower> follower;
    };

    table_state&
    add_table(const std::string& name,
              void (state_controller::*changed)(const io::store_row&),
              void (state_controller::*finished)());
    bool store_row(table_state& table, const io::store_row& row);
    void take_operator_row(const io::store_row& row);
    void take_target_row(const io::store_row& row);
    void take_member_row(const io::store_row& row);
    void finish_operator_rows();
    void finish_target_rows();
    void finish_member_rows();
    void apply_removals();
    void register_self();
    void on_back(const std::string& table);
    void report(const char* what, const std::string& key, const error& failure);

    io::event_loop& loop_;
    io::row_store& store_;
    const platform_language& language_;
    knowledge& known_;
    router_log& log_;
    random_engine random_;
    std::map<std::string, table_state> tables_;
    io::timer removal_timer_;
    io::timer register_timer_;
    std::shared_ptr<bool> alive_; ///< false once destroyed; held by callbacks
    bool leaving_ = false;
};

} // namespace vanillapost::router

#endif
