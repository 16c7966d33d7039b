#ifndef VANILLAPOST_APPS_ENTRY_TARGET_CONTROLLER_HPP
#define VANILLAPOST_APPS_ENTRY_TARGET_CONTROLLER_HPP

#include "entry_settings.hpp"

#include "vanillapost/holds.hpp"
#include "vanillapost/io.hpp"
#include "vanillapost/limits.hpp"
#include "vanillapost/measuring.hpp"
#include "vanillapost/records.hpp"
#include "vanillapost/retry.hpp"
#include "vanillapost/routing.hpp"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace vanillapost::entry {

/// The right to send one request to one target.
struct target_place
{
    target_id target;
    slot_ticket ticket;
    time_point started{};
};

/// What an answer said of the target that gave it.
struct target_answer
{
    completion how = completion::good;
    target_state state = target_state::unknown;
    answer_quality quality = answer_quality::good;
    duration latency{}; ///< from dispatch to the headers of the answer
};

/// The targets that this entry places work on: their limits, their state and
/// the connections to them.
class target_controller
{
public:
    /// Whether a target was warm when another entry held it.
    using warmth_lookup =
        std::function<bool(const target_id&, const entry_incarnation& holder)>;

    target_controller(io::event_loop& loop, const entry_settings& settings,
                      const hold_settings& timing, hold_controller& holds,
                      const record_set& records, random_engine& random,
                      warmth_lookup was_warm);
    ~target_controller();

    /// Takes over records that have changed.
    void on_records();

    /// Takes over holds that have changed.
    void on_holds();

    /// Updates counts that change by time alone.
    void tick();

    /// Takes a slot on the best target of a service, if one has a free slot.
    ///
    /// \param tried  targets to leave out
    std::optional<target_place> place(const service_id& service,
                                      time_point deadline,
                                      std::span<const target_id> tried);

    /// Same, among targets that are avoided for being slow, if they would
    /// answer sooner than after waiting for `wait`.
    std::optional<target_place> place_on_slow(const service_id& service,
                                              time_point deadline,
                                              std::span<const target_id> tried,
                                              duration wait);

    /// Ends what `place` began.
    void finish(const target_place& place, target_answer answer);

    io::http_client& client(const target_id& target);

    /// Free slots of each service that has targets here.
    std::map<service_id, int> free_slots();

    int free_slots(const service_id& service);

    /// Whether a target of the service has a free slot here.
    bool has_free_slot(const service_id& service);

    /// Slots of each service that are held here, without those of targets that
    /// are avoided.
    std::map<service_id, int> held_slots() const;

    /// Held targets that are not proven warm.
    std::vector<target_id> cold_targets() const;

    std::optional<duration> median_latency(const service_id& service) const;

    void set_reference(const service_id& service,
                       std::optional<duration> median);

    /// Takes the verdict on a probe or report.
    void on_probe(const target_id& target, const probe_result& result);
    void on_load_report(const target_id& target, int in_flight, int slots);

    /// Targets to be measured from here.
    std::vector<target_id> measured_targets() const;
    bool alone(const target_id& target) const;
    bool has(const target_id& target) const;

    nlohmann::json status();

private:
    struct placed_target
    {
        target_record record;
        int slots = 0; ///< its share of all limits in the records
        bool held = false;
        bool was_out = false;
        std::unique_ptr<io::http_client> client;
        std::unique_ptr<target_limiter> limiter;
        probe_judge judge;
        double reported_load = 0;
    };

    using target_list = std::vector<placed_target*>;

    struct option_list
    {
        std::vector<placement_option> options;
        target_list targets; ///< in the same order
    };

    slot_share share_of(const placed_target& target, time_point now) const;
    void take_record(const target_record& record, int slots);
    void drop_missing();
    void apply_limits(placed_target& target);
    void start_holding(placed_target& target);
    void stop_holding(placed_target& target);
    void update_lists();
    void report_in_flight(placed_target& target, time_point now);
    bool takes_all() const;
    placement_policy& policy(const service_id& service);
    bool avoided(const service_id& service, const target_id& target) const;
    option_list options_for(const service_id& service,
                            std::span<const target_id> tried);
    placement_option option_for(placed_target& target, time_point now);
    std::optional<target_place> acquire(placed_target& target,
                                        time_point deadline, time_point now);

    io::event_loop& loop_;
    const entry_settings& settings_;
    hold_settings timing_;
    hold_controller& holds_;
    const record_set& records_;
    random_engine& random_;
    warmth_lookup was_warm_;
    std::map<target_id, placed_target> targets_;
    std::map<service_id, target_list> usable_;
    std::map<service_id, placement_policy> policies_;
    std::map<target_id, entry_incarnation> last_holder_;
};

} // namespace vanillapost::entry

#endif
