#include "targets/condition_recorder.hpp"

#include "requests/problem.hpp"
#include "targets/target_message.hpp"

namespace vanillapost::router {

target_signal_recorder::target_signal_recorder(
    io::event_loop& loop, knowledge& known, const platform_language& language,
    router_metrics& metrics, router_log& log, target_signal_handlers handlers)
    : loop_(loop), known_(known), language_(language), metrics_(metrics),
      log_(log), handlers_(std::move(handlers))
{
}

void target_signal_recorder::record(const signal_source& source,
                                    const io::target_answer_head& head)
{
    const auto& target = source.target;
    const auto outcome = classify_answer(head, language_.headers);
    if (!is_from(target, head, outcome))
        return;
    const auto now = loop_.now();
    const auto reported = language_.read_condition(head.headers);
    if (reported.leaving)
        record_departure(target, source.born);
    auto* target_info = known_.placer.find(target);
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

// The address may have been taken over by another target, whose answers say
// nothing about this one.
bool target_signal_recorder::is_from(const target_id& target,
                                     const io::target_answer_head& head,
                                     const attempt_outcome& outcome) const
{
    const auto instance =
        io::find_header(head.headers, language_.headers.instance_id);
    const bool is_other = instance && *instance != target.value;
    const bool misdirected =
        std::holds_alternative<attempt_misdirected>(outcome);
    return !is_other && !misdirected;
}

void target_signal_recorder::record_departure(const target_id& target,
                                              std::int64_t born)
{
    if (!known_.targets.on_told_leaving(target, born))
        return;
    known_.placer.refresh(target, known_.targets, loop_.now());
    metrics_.count_departure("target");
    log_.request(io::log_level::info, "target_leaves",
                 {{"target", target.value}, {"told_by", "itself"}});
    const auto* record = known_.targets.find(target);
    if (record && !record->draining)
        handlers_.on_departure(target, born);
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
    known_.placer.find(target)->on_pause(length, loop_.now());
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
        io::find_header(head.headers, language_.headers.rate_limit);
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
    const auto news = known_.on_told_rate_limit(
        source.target, source.born, per_second, source.asked_at, loop_.now());
    if (news == rate_limit_news::none)
        return;
    log_.rate_limit(source.target, per_second,
                    source.is_probe ? "probe" : "answer");
    handlers_.on_rate_limit(source.target, news);
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
