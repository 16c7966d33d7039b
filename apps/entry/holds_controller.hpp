#ifndef VANILLAPOST_APPS_ENTRY_HOLDS_CONTROLLER_HPP
#define VANILLAPOST_APPS_ENTRY_HOLDS_CONTROLLER_HPP

#include "vanillapost/holds.hpp"
#include "vanillapost/io.hpp"

#include <functional>
#include <nlohmann/json.hpp>

namespace vanillapost::entry {

/// Drives the library's \ref hold_controller with the platform and the mesh.
class holds_controller
{
public:
    using send_to_peer =
        std::function<bool(const entry_id&, const nlohmann::json&)>;

    /// \param changed  called when the set of held targets may have changed
    holds_controller(io::event_loop& loop, io::platform_client& platform,
                     hold_controller& holds, send_to_peer send,
                     std::function<void()> changed);

    /// Starts to take part; only after the entry has been registered.
    void start();

    /// Takes a message of a peer; returns whether it was for this.
    bool on_message(const entry_incarnation& from,
                    const nlohmann::json& message);

    /// Carries out what the library wants done. Call it after each event that
    /// was handed to the library directly.
    void run_actions();

private:
    void carry_out(const read_row_action& action);
    void carry_out(const read_changes_action& action);
    void carry_out(const transact_action& action);
    void carry_out(const promise_ask_action& action);
    void carry_out(const promise_action& action);
    void carry_out(const hint_action& action);
    void tick();

    io::event_loop& loop_;
    io::platform_client& platform_;
    hold_controller& holds_;
    send_to_peer send_;
    std::function<void()> changed_;
    bool running_actions_ = false;
    bool rows_changed_ = false;
    io::timer timer_;
};

} // namespace vanillapost::entry

#endif
