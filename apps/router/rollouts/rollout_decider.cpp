#include "rollouts/rollout_decider.hpp"

#include <utility>

namespace vanillapost::router {

rollout_decider::rollout_decider(io::event_loop& loop, io::row_store& store,
                                 const row_schema& schema,
                                 const rollout_order& order,
                                 const rollout_limits& limits,
                                 std::function<void(std::string_view)> on_row)
    : plan_(order, limits), row_(loop, store, schema, order, std::move(on_row))
{
}

const rollout_directive*
rollout_decider::decide(service_rollout& rollout,
                        std::span<const entry_incarnation> live, time_point now)
{
    if (!row_.is_known())
        row_.read();
    // Without the store, an instance that follows a directive can go on from
    // it; one that knows none might contradict a final state.
    if (!row_.is_known() && !rollout.directive())
        return nullptr;
    if (rollout.directive())
        plan_.observe(*rollout.directive());
    const auto step = plan_.update(make_view(rollout, live, now));
    if (const auto* wanted = std::get_if<write_state>(&step))
        row_.write(wanted->state);
    return &plan_.directive();
}

rollout_view rollout_decider::make_view(service_rollout& rollout,
                                        std::span<const entry_incarnation> live,
                                        time_point now)
{
    auto& evidence = rollout.evidence();
    rollout_view view;
    view.order_age = evidence.order_age(now);
    view.totals = evidence.totals();
    view.verdict = judge_.judge(view.totals, now);
    view.reach = evidence.reach(live, plan_.directive().version,
                                rollout.in_flight_at_current());
    view.target_usable = rollout.has_usable_target();
    view.stored = row_.state();
    return view;
}

} // namespace vanillapost::router
