#include "rollouts/rollout_state_row.hpp"

#include <array>
#include <utility>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

/// Between a step that failed and the next one; the store may be away.
constexpr duration retry_interval = 400ms;
/// Between two steps otherwise.
constexpr duration step_interval = 50ms;

bool is_final(const std::optional<rollout_state>& state)
{
    return state && *state != rollout_state::serving;
}

} // namespace

rollout_state_row::rollout_state_row(
    io::event_loop& loop, io::row_store& store, const row_schema& schema,
    rollout_order order, std::function<void(std::string_view)> on_ended)
    : loop_(loop), store_(store), schema_(schema), order_(std::move(order)),
      key_(schema.rollouts.key(order_.service)), on_ended_(std::move(on_ended)),
      alive_(std::make_shared<bool>(true))
{
}

rollout_state_row::~rollout_state_row()
{
    *alive_ = false;
}

void rollout_state_row::read()
{
    begin(std::nullopt);
}

void rollout_state_row::write(rollout_state wanted)
{
    if (!is_final(state_))
        begin(wanted);
}

void rollout_state_row::begin(std::optional<rollout_state> wanted)
{
    if (busy_ || loop_.now() < next_at_)
        return;
    busy_ = true;
    store_.read_row(
        schema_.rollouts.table, key_,
        [this, alive = alive_, wanted](const io::store_result& result) {
            if (*alive)
                on_read(result, wanted);
        });
}

void rollout_state_row::on_read(const io::store_result& result,
                                std::optional<rollout_state> wanted)
{
    if (const auto* failure = std::get_if<io::store_failure>(&result)) {
        end(failure->what);
        return;
    }
    take_rows(std::get<io::store_rows>(result));
    if (!wanted || is_final(state_) || state_ == wanted)
        end("");
    else
        put(*wanted);
}

void rollout_state_row::take_rows(const io::store_rows& read)
{
    known_ = true;
    state_.reset();
    revision_ = 0;
    if (read.rows.empty())
        return;
    const auto& row = read.rows.front();
    revision_ = row.revision;
    if (revision_ < order_.revision)
        return;
    try {
        const auto status = schema_.rollouts.read(row.value);
        if (status.target_version == order_.target_version)
            state_ = status.state;
    } catch (const std::exception&) {
        // What another writer left there is replaced.
    }
}

void rollout_state_row::put(rollout_state wanted)
{
    const std::array<io::row_condition, 2> expected = {{
        {schema_.rollouts.table, key_, revision_},
        {schema_.operator_table, key_, order_.revision},
    }};
    const auto text = schema_.rollouts.write({order_.target_version, wanted});
    store_.put_if(
        expected, schema_.rollouts.table, key_, text,
        [this, alive = alive_, wanted](const io::store_result& result) {
            if (*alive)
                on_written(result, wanted);
        });
}

void rollout_state_row::on_written(const io::store_result& result,
                                   rollout_state wanted)
{
    if (const auto* failure = std::get_if<io::store_failure>(&result)) {
        end(failure->what);
        return;
    }
    state_ = wanted;
    end("");
}

void rollout_state_row::end(std::string_view failure)
{
    busy_ = false;
    next_at_ = loop_.now() + (failure.empty() ? step_interval : retry_interval);
    on_ended_(failure);
}

} // namespace vanillapost::router
