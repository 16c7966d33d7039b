#ifndef VANILLAPOST_SRC_MEMBERSHIP_LIVENESS_HPP
#define VANILLAPOST_SRC_MEMBERSHIP_LIVENESS_HPP

#include "instance_list.hpp"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace vanillapost {

/// What one process knows about the other entries: those that the platform's
/// list shows, and incarnations whose process is known to have ended.
///
/// An incarnation counts as ended when a list whose snapshot is younger than
/// the last evidence of the incarnation lacks it, or when the mesh found that
/// nothing listens at its address any more. Being silent is never taken for
/// being ended.
///
/// \note An entry has to register with the platform before it writes any row
///       or greets a peer; otherwise a list that lags could be taken as proof
///       that it ended.
class liveness
{
public:
    /// Takes in a list; one with an older snapshot than the last is ignored.
    ///
    /// \param asked_at  before the list was asked for. The list's age counts
    ///                  from here: the answer may have waited in a process
    ///                  that was paused, and must not look younger for that.
    void apply(const instance_list& list, time_point asked_at, time_point now);

    /// Notes that something named this incarnation, such as a row that was
    /// read now.
    void note_named(const entry_incarnation& who, time_point now);

    /// Notes that the process of this incarnation has ended.
    void note_ended(const entry_incarnation& who, time_point now);

    /// When this process learnt that the incarnation has ended, if it did.
    std::optional<time_point> ended_since(const entry_incarnation& who) const;

    /// Whether it has been known for `length` that the incarnation ended.
    bool ended_for(const entry_incarnation& who, duration length,
                   time_point now) const;

    /// Listed entries that are not known to have ended, by name.
    std::vector<listed_instance> present() const;

    /// Those of \ref present that are not leaving.
    std::vector<listed_instance> live() const;

    /// The listed entry under a name, also when it is leaving.
    const listed_instance* find(const entry_id& name) const;

    /// Whether an incarnation is listed, not leaving and not known as ended.
    bool is_live(const entry_incarnation& who) const;

    /// Whether any list has been taken in.
    bool known() const
    {
        return snapshot_.has_value();
    }

    /// When the set of \ref live entries last changed.
    time_point changed_at() const
    {
        return changed_at_;
    }

    /// A number that changes with the set of \ref live entries.
    std::uint64_t version() const
    {
        return version_;
    }

private:
    void end_missing(time_point now);
    void note_change(time_point now);

    std::map<entry_id, listed_instance> listed_;
    std::map<entry_incarnation, time_point> evidence_;
    std::map<entry_incarnation, time_point> ended_;
    std::set<entry_incarnation> last_live_;
    std::optional<time_point> snapshot_;
    time_point changed_at_{};
    std::uint64_t version_ = 0;
};

} // namespace vanillapost

#endif
