#ifndef VANILLAPOST_APPS_ROUTER_TARGETS_CONDITION_RECORDER_HPP
#define VANILLAPOST_APPS_ROUTER_TARGETS_CONDITION_RECORDER_HPP

#include "languages/platform_language.hpp"
#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "state/knowledge.hpp"
#include "vanillapost/attempts.hpp"
#include "vanillapost/src/io/target_pool.hpp"

#include <functional>

namespace vanillapost::router {

/// What was asked, where an answer says something of its target.
struct target_question
{
    target_id target;
    std::int64_t born = 0; ///< of its start when it was asked
    bool is_probe = false;
    time_point asked_at{};
};

/// What peers have to hear of.
struct condition_handlers
{
    /// A target told this instance first that it leaves.
    std::function<void(const target_id&, std::int64_t born)> on_departure;
    /// A target told this instance something new of the rate that it takes.
    std::function<void(const target_id&, rate_limit_news)> on_rate_limit;
};

/// Takes over what targets say of themselves in the heads of their answers:
/// that they are cold, leave, want a pause, or take so many requests a second.
class condition_recorder
{
public:
    condition_recorder(io::event_loop& loop, knowledge& known,
                       const platform_language& language,
                       router_metrics& metrics, router_log& log,
                       condition_handlers handlers);

    void record(const target_question& asked,
                const io::target_answer_head& head);

private:
    bool is_from(const target_id& target, const io::target_answer_head& head,
                 const attempt_outcome& outcome) const;
    void record_departure(const target_id& target, std::int64_t born);
    void record_pause(const target_id& target, std::string_view header);
    void record_rate_limit(const target_question& asked,
                           const io::target_answer_head& head,
                           const attempt_outcome& outcome);
    void record_rate(const target_question& asked,
                     std::optional<double> per_second);
    void note_not_kept(std::string_view event, const target_id& target,
                       std::string_view header, std::string_view reason);

    io::event_loop& loop_;
    knowledge& known_;
    const platform_language& language_;
    router_metrics& metrics_;
    router_log& log_;
    condition_handlers handlers_;
};

} // namespace vanillapost::router

#endif
