#ifndef VANILLAPOST_SRC_ROLLOUTS_ROLLOUT_EVIDENCE_HPP
#define VANILLAPOST_SRC_ROLLOUTS_ROLLOUT_EVIDENCE_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"
#include "version_counts.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>

namespace vanillapost {

enum class version_side
{
    current, ///< the targets of all versions but the ordered one
    target,  ///< the targets of the version that the order names
};

/// Routes that are counted by name; answers of further ones are pooled.
inline constexpr std::size_t max_evidence_routes = 4;
/// Name under which the answers of further routes are counted.
inline constexpr std::string_view pooled_route = "*";
/// Targets of the target version are counted in so many groups, by a hash of
/// their id, so that one sick target isn't taken for a bad version.
inline constexpr std::size_t target_group_count = 4;
/// Instances, with their restarts, whose reports count for one order.
inline constexpr std::size_t max_evidence_reporters = 4096;

/// Answers on one route since the order.
struct route_evidence
{
    version_counts current;
    std::array<version_counts, target_group_count> target;

    /// All groups of targets of the target version together.
    version_counts all_target() const;

    route_evidence& operator+=(const route_evidence& other);
    bool operator==(const route_evidence&) const = default;
};

using route_evidence_map = std::map<std::string, route_evidence, std::less<>>;

/// What one instance has seen of a roll-out since it knows the order.
/// Everything in it is cumulative, so that a later report replaces an earlier
/// one of the same instance and no answer is counted twice.
struct evidence_report
{
    entry_incarnation instance;
    service_id service;
    std::uint64_t order_revision = 0;
    std::uint64_t sequence = 0; ///< rises with each report of the instance
    /// Age of the order as far as the instance knows when it reports.
    duration order_age{};
    std::uint64_t sent_to_current = 0;
    std::uint64_t sent_to_target = 0;
    /// Requests that wait for an answer of the current version's targets.
    std::uint64_t in_flight_at_current = 0;
    /// `rollout_directive::version` of the directive that it follows; 0 before
    /// the first one.
    std::uint64_t directive_version = 0;
    /// By route; at most `max_evidence_routes` and the pooled one.
    route_evidence_map routes;

    bool operator==(const evidence_report&) const = default;
};

/// Formats a report as the JSON array that messages carry. As CBOR it has at
/// most about 1,000 bytes for names of usual length.
nlohmann::json to_json(const evidence_report& report);

/// Parses a report that `to_json` has formatted.
/// \throws error  if it is not such an array, or a number is out of range
evidence_report parse_evidence_report(const nlohmann::json& message);

/// Sums over all instances.
struct evidence_totals
{
    std::uint64_t sent_to_current = 0;
    std::uint64_t sent_to_target = 0;
    /// By route; bounded in number, further ones are pooled.
    route_evidence_map routes;

    std::uint64_t sent() const
    {
        return sent_to_current + sent_to_target;
    }

    bool operator==(const evidence_totals&) const = default;
};

/// How far a directive has spread among the live instances.
struct directive_reach
{
    std::size_t live = 0;
    /// Those that report this directive or a later one.
    std::size_t seen = 0;
    /// Those that have reported anything for the order.
    std::size_t reported = 0;
    /// Sum over all live instances that have reported.
    std::uint64_t in_flight_at_current = 0;
};

/// What all answers since an order show of the two versions.
///
/// Each instance holds one for each running order, records its own answers and
/// sends `own_report` to those that may decide; these merge the reports. Merges
/// may come in any order, late or twice.
///
/// \note Memory is bounded by `max_evidence_reporters` reports.
class rollout_evidence
{
public:
    /// \param self  the instance that records
    /// \param order_revision  reports of other orders don't count
    /// \param now  when this instance has seen the order
    rollout_evidence(entry_incarnation self, service_id service,
                     std::uint64_t order_revision, time_point now);

    /// Counts an answer, or the lack of one.
    ///
    /// \param route  name of the route
    /// \param target  the target that was asked
    /// \param good  false for an answer that a version can be blamed for: a
    ///     server error, a broken answer, none within the time limit. An
    ///     attempt that the caller gave up isn't recorded.
    /// \param latency  from sending the request to the answer's end
    void record(std::string_view route, version_side side,
                const target_id& target, bool good, duration latency);

    /// Counts a request that was sent to a target of a version.
    void on_sent(version_side side);

    /// The next report of this instance.
    /// \param in_flight_at_current  requests at the current version's targets
    ///     now, also those sent before the order
    /// \param directive_version  of the directive that is followed; 0 for none
    evidence_report own_report(std::uint64_t in_flight_at_current,
                               std::uint64_t directive_version, time_point now);

    /// Takes another instance's report if it is newer than the one held. Own
    /// reports that come back are ignored.
    void merge(evidence_report report, time_point now);

    /// All reports together with the own answers up to now.
    evidence_totals totals() const;

    /// \param live  the other instances that are alive
    /// \param directive_version  the directive in question
    /// \param own_in_flight  requests of this instance at the current
    ///     version's targets; this instance counts as one that has seen it
    directive_reach reach(std::span<const entry_incarnation> live,
                          std::uint64_t directive_version,
                          std::uint64_t own_in_flight) const;

    /// Age of the order: the longest that any instance knows of.
    duration order_age(time_point now) const;

    std::uint64_t order_revision() const
    {
        return own_.order_revision;
    }

private:
    evidence_report own_;
    time_point order_seen_;
    std::map<entry_incarnation, evidence_report> reports_;
};

} // namespace vanillapost

#endif
