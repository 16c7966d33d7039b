#ifndef VANILLAPOST_APPS_ENTRY_PROBE_CONTROLLER_HPP
#define VANILLAPOST_APPS_ENTRY_PROBE_CONTROLLER_HPP

#include "entry_metrics.hpp"
#include "target_controller.hpp"

#include <map>
#include <memory>
#include <set>

namespace vanillapost::entry {

/// Measures the targets of this entry within the budget of
/// \ref probe_schedule.
class probe_controller
{
public:
    probe_controller(io::event_loop& loop, target_controller& targets,
                     entry_metrics& metrics, random_engine& random);

    /// Follows changes of holds and starts the probes that are due.
    void tick();

    /// A target answered real work.
    void on_traffic(const target_id& target);

private:
    void follow_holds();
    void start(const target_id& target);
    void finish(const target_id& target, time_point sent, bool reachable,
                std::string_view body);

    target_state take_report(const target_id& target, std::string_view body);

    struct probe
    {
        std::unique_ptr<io::http_call> call;
        int status = 0;
        std::string body;
    };

    io::event_loop& loop_;
    target_controller& targets_;
    entry_metrics& metrics_;
    random_engine& random_;
    probe_schedule schedule_;
    std::map<target_id, bool> held_; ///< with whether the hold was alone
    std::map<target_id, probe> running_;
};

} // namespace vanillapost::entry

#endif
