#include "targets/target_signal_recorder.hpp"

#include "requests/problem.hpp"
#include "targets/target_message.hpp"

namespace vanillapost::router {

target_signal_recorder::target_signal_recorder(io::event_loop& loop,
                                               cluster_view& cluster,
                                               const platform_adapter& adapter,
                                               router_metrics& metrics,
                                               router_log& log,
                                               target_signal_handlers handlers)
    : loop_(loop), cluster_(cluster), adapter_(adapter), metrics_(metrics),
      log_(log), handlers_(std::move(handlers))
{
}

void target_signal_recorder::record(const signal_source& source,
                                    const io::target_answer_head& head)
{
    cluster_.reach.on_answer();
    const auto& target = source.target;
    const auto outcome = classify_answer(head, adapter_.headers);
    if (!is_from(target, head, outcome))
        return;
    const auto now = loop_.now();
    const auto reported = adapter_.read_target_signals(head.headers);
    if (reported.leaving)
        record_departure(target, source.start_unix_ms);
    auto* target_info = cluster_.placer.find(target);
    if (!target_info)
        return;
    if (reported.cold_left)
        target_info->on_cold(*reported.cold_left, now);
    if (reported.draining)
        target_info->on_draining(*reported.draining);
    const auto pause = io::find_header(head.headers, "Retry-After");
    if (pause && head.status == status_unavailable)
        record_pause(target, *pause);
    record_rate_limit(source, head, outcome);
}

void target_signal_recorder::record_silence(const target_id& target)
{
    cluster_.reach.on_silence(target, loop_.now());
}

// The address may have been taken over by another target, whose answers say
// nothing about this one.
bool target_signal_recorder::is_from(const target_id& target,
                                     const io::target_answer_head& head,
                                     const attempt_outcome& outcome) const
{
    const auto instance =
        io::find_header(head.headers, adapter_.headers.instance_id);
    const bool is_other = instance && *instance != target.value;
    const bool misdirected =
        std::holds_alternative<attempt_misdirected>(outcome);
    return !is_other && !misdirected;
}

void target_signal_recorder::record_departure(const target_id& target,
                                              std::int64_t start_unix_ms)
{
    if (!cluster_.targets.on_departure_announced(target, start_unix_ms))
        return;
    cluster_.placer.refresh(target, cluster_.targets, loop_.now());
    metrics_.count_departure("target");
    log_.request(io::log_level::info, "target_leaves",
                 {{"target", target.value}, {"told_by", "itself"}});
    const auto* record = cluster_.targets.find(target);
    if (record && !record->draining)
        handlers_.on_departure(target, start_unix_ms);
}

void target_signal_recorder::record_pause(const target_id& target,
                                          std::string_view header)
{
    const auto parsed = parse_pause(header);
    if (const auto* refusal = std::get_if<pause_refusal>(&parsed)) {
        metrics_.count_pause("not_kept");
        log_rejected_header("target_pause_not_kept", target, header,
                            to_string(*refusal));
        return;
    }
    const auto length = std::get<duration>(parsed);
    cluster_.placer.find(target)->on_pause(length, loop_.now());
    metrics_.count_pause("kept");
    log_.request(
        io::log_level::info, "target_pauses",
        {{"target", target.value}, {"for_ms", std::to_string(to_ms(length))}});
}

void target_signal_recorder::record_rate_limit(
    const signal_source& source, const io::target_answer_head& head,
    const attempt_outcome& outcome)
{
    const auto header =
        io::find_header(head.headers, adapter_.headers.rate_limit);
    if (!header) {
        // Answers to health checks and refusals may omit the header at any
        // time; that does not end the limit.
        const bool limit_ended =
            !source.is_probe &&
            std::holds_alternative<attempt_answered>(outcome);
        if (limit_ended)
            update_rate_limit(source, std::nullopt);
        return;
    }
    const auto parsed = parse_rate_limit(*header);
    if (const auto* refusal = std::get_if<rate_limit_refusal>(&parsed)) {
        metrics_.count_rate_limit("not_kept");
        log_rejected_header("target_rate_limit_not_kept", source.target,
                            *header, to_string(*refusal));
        return;
    }
    metrics_.count_rate_limit("kept");
    update_rate_limit(source, std::get<double>(parsed));
}

void target_signal_recorder::update_rate_limit(const signal_source& source,
                                               std::optional<double> per_second)
{
    const auto change = cluster_.on_rate_limit_announced(
        source.target, source.start_unix_ms, per_second, source.asked_at,
        loop_.now());
    if (change == rate_limit_change::none)
        return;
    log_.rate_limit(source.target, per_second,
                    source.is_probe ? "probe" : "answer");
    handlers_.on_rate_limit(source.target, change);
}

void target_signal_recorder::log_rejected_header(std::string_view event,
                                                 const target_id& target,
                                                 std::string_view header,
                                                 std::string_view reason)
{
    log_.request(io::log_level::warning, event,
                 {{"target", target.value},
                  {"asked", shortened(header)},
                  {"reason", std::string(reason)}});
}

} // namespace vanillapost::router
