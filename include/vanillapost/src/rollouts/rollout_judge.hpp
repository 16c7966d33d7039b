#ifndef VANILLAPOST_SRC_ROLLOUTS_ROLLOUT_JUDGE_HPP
#define VANILLAPOST_SRC_ROLLOUTS_ROLLOUT_JUDGE_HPP

#include "../base/time.hpp"
#include "detail/route_judge.hpp"
#include "rollout_evidence.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace vanillapost {

/// Log likelihood from which a version is called bad. The probability that a
/// version which is alike gets there within n answers is below n times e to
/// the minus this, for each hypothesis on each route.
inline constexpr double judge_threshold = 11;

/// Name under which the sum over all routes is judged.
inline constexpr std::string_view all_routes = "all routes";

/// Too few answers yet, or signs of a bad version that don't suffice yet.
struct undecided
{
    bool suspicious = false; ///< whether there are such signs

    bool operator==(const undecided&) const = default;
};

/// The answers so far show no difference to the current version.
struct good_so_far
{
    bool operator==(const good_so_far&) const = default;
};

/// The target version does worse than the current one. Final.
struct bad_version
{
    /// That shows it; `pooled_route` for those that aren't counted by name,
    /// `all_routes` if only all of them together do.
    std::string route;
    std::string reason; ///< with the counts that decided, for the log

    bool operator==(const bad_version&) const = default;
};

using rollout_verdict = std::variant<undecided, good_so_far, bad_version>;

/// Compares the target version of a roll-out with the current one, at the same
/// time and on the same route, as often as the caller likes.
///
/// The totals are cut into intervals between two calls. Within an interval a
/// bad answer is as likely to come from the target version as its share of the
/// answers says, if both versions are alike, whatever burst or outage goes on.
/// The likelihood of the alternative against that is multiplied up over the
/// intervals, so that looking often doesn't raise the share of false alarms.
/// \see docs/design/rollouts.md
class rollout_judge
{
public:
    /// Judges what came since the last call, with all before. To be called
    /// every 100 to 500 ms; a bad version stays one.
    rollout_verdict judge(const evidence_totals& totals, time_point now);

private:
    rollout_verdict verdict(const version_counts& target) const;

    std::map<std::string, detail::route_judge, std::less<>> routes_;
    std::optional<time_point> last_cut_;
    rollout_verdict verdict_;
};

} // namespace vanillapost

#endif
