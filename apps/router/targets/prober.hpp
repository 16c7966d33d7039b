#ifndef VANILLAPOST_APPS_ROUTER_TARGETS_PROBER_HPP
#define VANILLAPOST_APPS_ROUTER_TARGETS_PROBER_HPP

#include "languages/platform_language.hpp"
#include "reporting/router_log.hpp"
#include "reporting/router_metrics.hpp"
#include "state/knowledge.hpp"
#include "targets/condition_recorder.hpp"
#include "targets/target_connections.hpp"

#include <cstdint>
#include <map>
#include <set>

namespace vanillapost::router {

/// Asks targets for their load. Requests that want the same target measured
/// share one probe.
///
/// The connection that a probe was answered on is the next to be used, so a
/// request that follows does not meet one that has died in silence.
class prober
{
public:
    using done_handler =
        std::function<void(std::uint64_t waiter, const target_id&)>;

    prober(io::event_loop& loop, knowledge& known,
           const platform_language& language, target_connections& connections,
           condition_recorder& conditions, router_metrics& metrics,
           router_log& log, done_handler done);

    /// Calls the handler with `waiter` when the probe has ended, never before
    /// this returns. A target that leaves or has asked for a pause is not
    /// probed; then the handler is called without one.
    void measure(const target_id& target, std::uint64_t waiter);

private:
    struct probe
    {
        std::int64_t born = 0; ///< of the start that is asked
        time_point sent_at{};
        std::unique_ptr<io::target_call> call;
        std::unique_ptr<io::timer> limit;
        std::set<std::uint64_t> waiters;
        io::target_answer_head head;
    };

    bool may_probe(const listed_target& target) const;
    void start(const listed_target& target, probe& made);
    void take_answer(const target_id& target);
    bool read_answer(const target_id& target, const probe& ended,
                     target_knowledge& about);
    void fail(const target_id& target, const std::string& reason);
    void end(const target_id& target);

    io::event_loop& loop_;
    knowledge& known_;
    const platform_language& language_;
    target_connections& connections_;
    condition_recorder& conditions_;
    router_metrics& metrics_;
    router_log& log_;
    done_handler done_;
    std::map<target_id, probe> probes_;
};

} // namespace vanillapost::router

#endif
