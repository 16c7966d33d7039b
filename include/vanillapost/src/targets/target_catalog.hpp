#ifndef VANILLAPOST_SRC_TARGETS_TARGET_CATALOG_HPP
#define VANILLAPOST_SRC_TARGETS_TARGET_CATALOG_HPP

#include "departure_notes.hpp"
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
    /// the list, in which their entries lapsed although they live.
    duration relist_window = std::chrono::milliseconds(2500);
    /// How long a removal in that window is held back.
    duration removal_delay = std::chrono::milliseconds(1700);
};

/// The targets that are listed, and which of them may get work.
///
/// Pattern it answers: the list is down, entries lapse, and as it returns all
/// targets vanish for some seconds though they serve.
class target_catalog
{
public:
    explicit target_catalog(const target_catalog_settings& settings = {});

    /// \return false for a report that is older than the one it would replace
    bool put(listed_target record);

    void remove(const target_id& id, time_point now);

    /// A full reading of the list: what it does not name is removed.
    void replace(std::vector<listed_target> records, time_point now);

    /// The list answers again after an outage.
    void on_list_back(time_point now);

    /// A peer knows that targets may list themselves again for so long.
    void on_told_relisting(duration left, time_point now);

    /// For how long targets may still be about to list themselves again.
    duration relist_left(time_point now) const;

    bool is_relisting(time_point now) const
    {
        return relist_left(now) > duration::zero();
    }

    /// Takes a data centre out, or back in. Its targets get no work while it
    /// is out.
    void set_evacuated(std::set<data_centre_id> data_centres);

    /// A target said in an answer that it leaves.
    /// \param born  of the start that was asked, from its row; Unix ms
    /// \return false when it was known
    bool on_told_leaving(const target_id& id, std::int64_t born);

    /// A peer passed that on.
    /// \return false when it was known
    bool on_peer_told_leaving(const target_id& id, std::int64_t born,
                              time_point now);

    /// What an answer of a target says of the rate that it takes.
    /// \see rate_limits::on_told
    rate_limit_news on_told_rate_limit(const target_id& id, std::int64_t born,
                                       std::optional<double> per_second,
                                       time_point asked_at, time_point now)
    {
        return limits_.on_told(id, born, per_second, asked_at, now);
    }

    /// What a peer knows of it. Only of a start that is listed: a peer cannot
    /// fill the memory of others.
    /// \return whether it was new
    bool on_peer_told_rate_limit(const rate_limit_note& told, time_point now);

    /// Requests a second that a target takes from all instances, if it has
    /// named a limit.
    std::optional<double> rate_limit(const listed_target& record) const
    {
        return limits_.find(record.id, record.born_ms);
    }

    rate_limits& limits()
    {
        return limits_;
    }

    /// Carries out the removals that are due; returns whether there were any.
    bool advance(time_point now);

    /// When `advance` has something to do.
    std::optional<time_point> next_removal() const;

    const listed_target* find(const target_id& id) const;

    /// Whether the target may get work: its data centre is not taken out, and
    /// it does not leave (\ref departure_notes).
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
    departure_notes departures_;
    rate_limits limits_;
    time_point relisting_until_{};
};

} // namespace vanillapost

#endif
