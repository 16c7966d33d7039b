#ifndef VANILLAPOST_SRC_PLACEMENT_TARGET_PLACER_HPP
#define VANILLAPOST_SRC_PLACEMENT_TARGET_PLACER_HPP

#include "../base/random.hpp"
#include "../targets/target_catalog.hpp"
#include "placement_request.hpp"
#include "rate_share.hpp"
#include "target_knowledge.hpp"

#include <functional>
#include <map>
#include <set>
#include <span>

namespace vanillapost {

struct placement_settings
{
    data_centre_id data_centre; ///< of this instance
    entry_id self;
    /// A report older than this is asked for anew before a request is placed.
    duration fresh_report = std::chrono::milliseconds(30);
    /// A target that was not probed for so long may have turned cold.
    duration fresh_probe = std::chrono::milliseconds(400);
    /// A target that drains or is cold is asked again after this time.
    duration recheck = std::chrono::seconds(1);
    /// When a target turns cold, work that instances sent before they knew may
    /// go on there, unseen in reports that mislead: it gets no more meanwhile.
    duration cold_settling = std::chrono::seconds(1);
    std::size_t probes_per_round = 3;
    int probe_rounds = 2;
    /// Requests that a target may have waiting, for each slot.
    double queue_per_slot = 1;
    /// What a round trip to another data centre adds.
    duration remote_delay = std::chrono::milliseconds(4);
    /// What a KiB from another data centre costs, as time that a caller would
    /// wait to save it.
    duration remote_delay_per_kib = std::chrono::milliseconds(5);
    /// With so many targets of its own data centre that have room, a request
    /// stays there: one of them is as good as any, and bytes between data
    /// centres cost money.
    std::size_t enough_local = 8;
    /// Use of slots above which a target slows down, and by how much.
    double knee_use = 0.8;
    double knee_factor = 1.7;
    /// Part of the targets that has to have a slot free for a request to be
    /// placed that will be late.
    double plenty_share = 0.5;
    /// What a failed attempt costs, in service times.
    double failure_cost_repeatable = 1.5;
    double failure_cost_once = 6;
};

/// Chooses the target of each request.
///
/// A target that answers soon is one with a free slot on a machine that is
/// not slowed down by others right now. Both change within milliseconds, so
/// a few likely targets are probed just before the choice, unless their last
/// answers told it already.
class target_placer
{
public:
    target_placer(placement_settings settings, random_engine random);

    /// Takes over which targets may be used.
    /// \param cold_rates  requests a second that a cold target of a service
    ///                    bears
    void update(const target_catalog& catalog,
                const std::map<service_id, double>& cold_rates, time_point now);

    /// The members among which targets that take a bounded rate are divided.
    void set_members(std::vector<owner_candidate> members);

    placement_decision choose(const placement_request& request,
                              const placement_effort& effort, time_point now);

    /// Looks again at whether one target may be used.
    void refresh(const target_id& id, const target_catalog& catalog,
                 time_point now);

    /// Knowledge of a target; nothing when it is not listed any more.
    target_knowledge* find(const target_id& id);

    /// By how much work takes longer on a target now, with the requests that
    /// it has; 1 for one that is not known.
    double current_factor(const target_id& id, time_point now) const;

    /// Targets of a service that may be used.
    std::size_t usable_targets(const service_id& service) const;

private:
    struct entry
    {
        listed_target record;
        target_knowledge knowledge;
        /// Of the rate that it takes now, where that is bounded. Made on use:
        /// there are many targets and few such.
        mutable rate_share share;
        double cold_rate = 0;             ///< while it is cold
        std::optional<double> rate_limit; ///< that it has named
        double preference = 0; ///< of this instance; 0 is the most preferred
        bool usable = false;
    };

    struct candidate
    {
        entry* target;
        double cost;     ///< µs until the answer is complete, with all risks
        double expected; ///< µs until the answer is complete
        bool full;
        bool crowded; ///< full, or slowed down for the others by one more
        bool measured;
    };

    std::vector<candidate> rank(const placement_request& request,
                                time_point now);
    candidate assess(entry& each, const placement_request& request,
                     time_point now) const;
    void drop_failing(std::vector<candidate>& order, time_point now) const;
    void drop_remote(std::vector<candidate>& order) const;
    bool may_use(entry& each, const placement_request& request,
                 time_point now) const;
    std::optional<double> rate_bound(const entry& each, time_point now) const;
    std::optional<time_point> next_turn(const entry& each,
                                        time_point now) const;
    bool has_cold_slot(const entry& each, int cold_slots, time_point now) const;
    bool is_first_owner(const entry& each) const;
    bool must_recheck(const entry& each, time_point now) const;
    void add_recheck(const placement_request& request, time_point now,
                     std::vector<target_id>& targets) const;
    bool has_plenty_of_room(std::span<const candidate> order) const;
    bool may_crowd(const candidate& each, const placement_effort& effort,
                   time_point now) const;
    std::vector<target_id> stale(std::span<const candidate> order) const;
    duration others_turn(const entry& each, time_point now) const;
    std::optional<duration> first_turn(const service_id& service,
                                       time_point now) const;
    void take_record(entry& each, const listed_target& record,
                     const target_catalog& catalog, time_point now) const;
    void take_rate_limit(entry& each, std::optional<double> limit,
                         time_point now) const;
    void list_usable(const service_id& service);
    std::vector<target_id> suspects(const placement_request& request,
                                    time_point now) const;

    placement_settings settings_;
    random_engine random_;
    std::map<target_id, entry> targets_;
    std::map<service_id, std::vector<entry*>> services_;
    rate_owner_view view_;
};

} // namespace vanillapost

#endif
