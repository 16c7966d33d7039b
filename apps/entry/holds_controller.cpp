#include "holds_controller.hpp"

#include <utility>

namespace vanillapost::entry {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(50);

} // namespace

holds_controller::holds_controller(io::event_loop& loop,
                                   io::platform_client& platform,
                                   hold_controller& holds, send_to_peer send,
                                   std::function<void()> changed)
    : loop_(loop), platform_(platform), holds_(holds), send_(std::move(send)),
      changed_(std::move(changed)), timer_(loop, [this] { tick(); })
{
}

void holds_controller::start()
{
    timer_.start_every(tick_interval);
}

void holds_controller::tick()
{
    holds_.tick(loop_.now());
    run_actions();
}

void holds_controller::run_actions()
{
    // An action may be answered at once and lead to further ones.
    if (std::exchange(running_actions_, true))
        return;
    for (auto actions = holds_.take_actions(); !actions.empty();
         actions = holds_.take_actions()) {
        for (const auto& action : actions)
            std::visit([this](const auto& each) { carry_out(each); }, action);
    }
    running_actions_ = false;
    if (std::exchange(rows_changed_, false))
        changed_();
}

void holds_controller::carry_out(const read_row_action& action)
{
    platform_.read(action.key, [this, id = action.id](auto result) {
        holds_.on_row(id, result, loop_.now());
        run_actions();
    });
}

void holds_controller::carry_out(const read_changes_action& action)
{
    platform_.changes(
        action.prefix, action.since, [this, id = action.id](auto result) {
            const auto* changes = std::get_if<table_changes>(&result);
            rows_changed_ =
                rows_changed_ || (changes && !changes->rows.empty());
            holds_.on_changes(id, result, loop_.now());
            run_actions();
        });
}

void holds_controller::carry_out(const transact_action& action)
{
    platform_.transact(action.transaction, [this, id = action.id](auto result) {
        // A heartbeat changes no hold, but telling it apart is not worth it.
        rows_changed_ = true;
        holds_.on_transact(id, result, loop_.now());
        run_actions();
    });
}

void holds_controller::carry_out(const promise_ask_action& action)
{
    send_(action.to.name, {{"t", "promise_ask"}, {"id", action.id}});
}

void holds_controller::carry_out(const promise_action& action)
{
    send_(action.to.name,
          {{"t", "promise"}, {"id", action.id}, {"granted", action.granted}});
}

void holds_controller::carry_out(const hint_action& action)
{
    send_(action.to.name, {{"t", "holds_hint"}});
}

bool holds_controller::on_message(const entry_incarnation& from,
                                  const nlohmann::json& message)
{
    const auto type = message.at("t").get<std::string>();
    const auto now = loop_.now();
    if (type == "promise_ask")
        holds_.on_promise_ask(from, message.at("id").get<std::uint64_t>(), now);
    else if (type == "promise")
        holds_.on_promise(from, message.at("id").get<std::uint64_t>(),
                          message.at("granted").get<bool>(), now);
    else if (type == "holds_hint")
        holds_.on_hint(now);
    else
        return false;
    run_actions();
    return true;
}

} // namespace vanillapost::entry
