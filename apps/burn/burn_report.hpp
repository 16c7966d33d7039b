#ifndef VANILLAPOST_APPS_BURN_BURN_REPORT_HPP
#define VANILLAPOST_APPS_BURN_BURN_REPORT_HPP

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vanillapost/base.hpp>
#include <vanillapost/burn.hpp>
#include <vector>

namespace vanillapost::burn_app {

/// An objective of 1 leaves no budget to burn; higher ones count as this.
inline constexpr double highest_objective = 0.999999;

/// Bad answers of one service between two scrapes.
struct burn_point
{
    time_point at{};
    double error_rate = 0;
};

/// What the report says of one service.
struct service_burn
{
    service_id name;
    double objective = 0;
    answer_count answers; ///< in the time observed
    double budget_left = 0;
    burn_severity severity = burn_severity::none;
    std::vector<burn_window> windows;
    std::vector<burn_point> history;
};

/// One run of the report.
struct burn_report
{
    std::string written_at; ///< wall-clock time, for the reader
    duration observed{};    ///< from the first scrape to the last
    std::size_t entries = 0;
    std::map<std::string, int> failures; ///< failed scrapes, how often each
    std::vector<service_burn> services;
};

nlohmann::json to_json(const burn_report& report);

/// Gathers scrapes of several entries and makes reports of them.
class burn_collector
{
public:
    /// \param objectives  by service; others get `fallback`
    /// \param from_start  counts all that entries have counted so far too
    burn_collector(std::map<service_id, double> objectives, double fallback,
                   bool from_start);

    /// One entry's counters. Times must not fall.
    void observe(const std::string& entry, time_point at,
                 const std::map<service_id, answer_count>& counts);

    void note_failure(const std::string& what);

    /// Ends one round over all entries.
    void end_round(time_point at);

    burn_report report(time_point now) const;

private:
    struct followed
    {
        burn_tracker tracker;
        answer_count last;
        std::vector<burn_point> history;
    };

    followed& follow(const service_id& name);

    std::map<service_id, double> objectives_;
    double fallback_;
    bool from_start_;
    std::map<service_id, followed> services_;
    std::set<std::string> entries_;
    std::set<std::pair<std::string, service_id>> seen_;
    std::map<std::string, int> failures_;
    std::optional<time_point> first_;
};

} // namespace vanillapost::burn_app

#endif
