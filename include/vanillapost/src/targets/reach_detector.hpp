#ifndef VANILLAPOST_SRC_TARGETS_REACH_DETECTOR_HPP
#define VANILLAPOST_SRC_TARGETS_REACH_DETECTOR_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"

#include <cstddef>
#include <optional>
#include <set>

namespace vanillapost {

/// Detects that this instance is partitioned from all targets.
///
/// A target that does not answer may have ended. An instance to which several
/// targets in a row do not answer, and none else does, has more likely lost its
/// own links to them. Any answer, also of a failing or full target, shows that
/// it has not.
class reach_detector
{
public:
    /// A target has answered a request or a probe.
    void on_answer();

    /// A target could not be connected to, or has not answered in time.
    void on_silence(const target_id& target, time_point now);

    /// Whether more targets have to be probed, to decide soon.
    bool is_suspected() const
    {
        return silent_.size() >= suspected_targets;
    }

    /// \param listed  number of targets that there are
    bool is_cut_off(std::size_t listed, time_point now) const;

    /// So many targets in a row make a probe of others worthwhile.
    static constexpr std::size_t suspected_targets = 2;
    /// So many targets do not end at the same moment otherwise.
    static constexpr std::size_t min_silent_targets = 4;
    /// A stall of this instance itself ends sooner.
    static constexpr duration min_silence = std::chrono::milliseconds(400);

private:
    std::set<target_id> silent_; ///< since the last answer of any target
    std::optional<time_point> silent_since_;
};

} // namespace vanillapost

#endif
