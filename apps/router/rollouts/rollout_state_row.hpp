#ifndef VANILLAPOST_APPS_ROUTER_ROLLOUTS_ROLLOUT_STATE_ROW_HPP
#define VANILLAPOST_APPS_ROUTER_ROLLOUTS_ROLLOUT_STATE_ROW_HPP

#include "adapters/platform_adapter.hpp"
#include "vanillapost/rollouts.hpp"
#include "vanillapost/src/io/event_loop.hpp"
#include "vanillapost/src/io/row_store.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace vanillapost::router {

/// The row in the store that says how far a roll-out is, for one order.
///
/// A state is written only if the row is as it was read just before and the
/// order still stands as it is known here. So of two instances that decide
/// differently one writes, and the other reads what stands. When an answer was
/// lost, the next attempt begins with reading, which shows what became of it;
/// a write that is done late fails if another one was done meanwhile. A row
/// that is older than the order is of an earlier one.
class rollout_state_row
{
public:
    /// \param on_ended  called when a step has ended, with a failure's reason,
    ///                  or "" if the row is known
    rollout_state_row(io::event_loop& loop, io::row_store& store,
                      const row_schema& schema, rollout_order order,
                      std::function<void(std::string_view)> on_ended);
    ~rollout_state_row();

    /// Reads the row, unless a step runs or one has just failed.
    void read();

    /// Has the row say `wanted`, unless it holds a final state. Does nothing
    /// while a step runs or shortly after one has failed.
    void write(rollout_state wanted);

    /// Whether the row was read since the start.
    bool is_known() const
    {
        return known_;
    }

    /// What the store holds for the order; nullopt if it has no row for it or
    /// that is not known.
    const std::optional<rollout_state>& state() const
    {
        return state_;
    }

private:
    void begin(std::optional<rollout_state> wanted);
    void on_read(const io::store_result& result,
                 std::optional<rollout_state> wanted);
    void take_rows(const io::store_rows& read);
    void put(rollout_state wanted);
    void on_written(const io::store_result& result, rollout_state wanted);
    void end(std::string_view failure);

    io::event_loop& loop_;
    io::row_store& store_;
    const row_schema& schema_;
    rollout_order order_;
    std::string key_;
    std::function<void(std::string_view)> on_ended_;
    bool busy_ = false;
    bool known_ = false;
    std::optional<rollout_state> state_;
    std::uint64_t revision_ = 0;  ///< of the row as last read; 0: none
    time_point next_at_{};        ///< earliest time of the next step
    std::shared_ptr<bool> alive_; ///< false once destroyed; held by callbacks
};

} // namespace vanillapost::router

#endif
