#ifndef VANILLAPOST_SRC_TARGETS_TARGET_CATALOG_HPP
#define VANILLAPOST_SRC_TARGETS_TARGET_CATALOG_HPP

#include "departure_tracker.hpp"
#include "listed_target.hpp"
#include "rate_limits.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vanillapost {

struct target_catalog_settings
{
    /// How long targets may take to list themselves again after an outage of
    /// the list, in which their entries expired although they are running.
    duration relist_window = std::chrono::milliseconds(2500);
    /// How long a removal in that window is delayed.
    duration removal_delay = std::chrono::milliseconds(1700);
};

/// The targets that are listed, and which of them may get requests.
///
/// When the list returns after an outage in which its entries expired, all
/// targets are missing from it for some seconds although they are running.
/// Removals are therefore delayed in that time.
class target_catalog
{
public:
    explicit target_catalog(const target_catalog_settings& settings = {});

    /// Adds or updates a target.
    /// \return false if the record is older than the one it would replace
    bool put(listed_target record);

    void remove(const target_id& id, time_point now);

    /// Takes over the complete list: targets that are not in it are removed.
    void replace(std::vector<listed_target> records, time_point now);

    /// The list is available again after an outage.
    void on_list_restored(time_point now);

    /// A peer has relayed that targets may still list themselves again for that
    /// long.
    void on_relisting_relayed(duration left, time_point now);

    /// How much longer targets may take to list themselves again.
    duration relist_left(time_point now) const;

    bool is_relisting(time_point now) const
    {
        return relist_left(now) > duration::zero();
    }

    /// Sets the data centres that are evacuated. Their targets get no requests.
    void set_evacuated(std::set<data_centre_id> data_centres);

    /// A target has announced in a response that it leaves.
    /// \param start_unix_ms  start time that the target's row had when the
    ///                       request was sent, Unix ms
    /// \return false if that was known
    bool on_departure_announced(const target_id& id,
                                std::int64_t start_unix_ms);

    /// A peer has relayed that a target leaves.
    /// \return false if that was known
    bool on_departure_relayed(const target_id& id, std::int64_t start_unix_ms,
                              time_point now);

    /// Takes over what a response of a target says about its rate limit.
    /// \see rate_limits::on_announced
    rate_limit_change on_rate_limit_announced(const target_id& id,
                                              std::int64_t start_unix_ms,
                                              std::optional<double> per_second,
                                              time_point asked_at,
                                              time_point now)
    {
        return limits_.on_announced(id, start_unix_ms, per_second, asked_at,
                                    now);
    }

    /// A peer has relayed a rate limit. Ignored unless that start of the target
    /// is listed, so that a peer cannot fill this instance's memory.
    /// \return whether it was new
    bool on_rate_limit_relayed(const versioned_rate_limit& received,
                               time_point now);

    /// Requests a second that a target accepts from all instances, if it has
    /// announced a limit.
    std::optional<double> rate_limit(const listed_target& record) const
    {
        return limits_.find(record.id, record.start_unix_ms);
    }

    rate_limits& limits()
    {
        return limits_;
    }

    /// Carries out the delayed removals that are due.
    /// \return whether there were any
    bool advance(time_point now);

    /// When `advance` next has something to do.
    std::optional<time_point> next_removal() const;

    const listed_target* find(const target_id& id) const;

    /// Whether the target may get requests: its data centre is not evacuated,
    /// and it does not leave (\ref departure_tracker).
    bool is_usable(const listed_target& record, time_point now) const;

    const std::map<target_id, listed_target>& all() const
    {
        return records_;
    }

    const std::set<data_centre_id>& evacuated() const
    {
        return evacuated_;
    }

private:
    target_catalog_settings settings_;
    std::map<target_id, listed_target> records_;
    std::map<target_id, time_point> removals_; ///< when each is due
    std::set<data_centre_id> evacuated_;
    departure_tracker departures_;
    rate_limits limits_;
    time_point relisting_until_{};
};

} // namespace vanillapost

#endif
