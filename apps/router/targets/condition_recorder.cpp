#include "targets/condition_recorder.hpp"

#include "requests/problem.hpp"
#include "targets/target_message.hpp"

namespace vanillapost::router {

condition_recorder::condition_recorder(io::event_loop& loop, knowledge& known,
                                       const platform_language& language,
                                       router_metrics& metrics, router_log& log,
                                       condition_handlers handlers)
    : loop_(loop), known_(known), language_(language), metrics_(metrics),
      log_(log), handlers_(std::move(handlers))
{
}

void condition_recorder::record(const target_question& asked,
                                const io::target_answer_head& head)
{
    const auto& target = asked.target;
    const auto outcome = judge_answer(head, language_.headers);
    if (!is_from(target, head, outcome))
        return;
    const auto now = loop_.now();
    const auto condition = language_.read_condition(head.headers);
    if (condition.leaving)
        record_departure(target, asked.born);
    auto* about = known_.placer.find(target);
    if (!about)
        return;
    if (condition.cold_left)
        about->on_cold(*condition.cold_left, now);
    if (condition.draining)
        about->on_draining(*condition.draining);
    const auto pause = io::find_header(head.headers, "Retry-After");
    if (pause && head.status == status_unavailable)
        record_pause(target, *pause);
    record_rate_limit(asked, head, outcome);
}

// Its address may have gone to another target, which speaks for itself only.
bool condition_recorder::is_from(const target_id& target,
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

void condition_recorder::record_departure(const target_id& target,
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

void condition_recorder::record_pause(const target_id& target,
                                      std::string_view header)
{
    const auto asked = parse_pause(header);
    if (const auto* refused = std::get_if<pause_refusal>(&asked)) {
        metrics_.count_pause("not_kept");
        note_not_kept("target_pause_not_kept", target, header,
                      to_string(*refused));
        return;
    }
    const auto length = std::get<duration>(asked);
    known_.placer.find(target)->on_pause(length, loop_.now());
    metrics_.count_pause("kept");
    log_.request(
        io::log_level::info, "target_pauses",
        {{"target", target.value}, {"for_ms", std::to_string(to_ms(length))}});
}

void condition_recorder::record_rate_limit(const target_question& asked,
                                           const io::target_answer_head& head,
                                           const attempt_outcome& outcome)
{
    const auto header =
        io::find_header(head.headers, language_.headers.rate_limit);
    if (!header) {
        // Health checks and refusals may leave it out at any time.
        const bool ends = !asked.is_probe &&
                          std::holds_alternative<attempt_answered>(outcome);
        if (ends)
            record_rate(asked, std::nullopt);
        return;
    }
    const auto named = parse_rate_limit(*header);
    if (const auto* refused = std::get_if<rate_limit_refusal>(&named)) {
        metrics_.count_rate_limit("not_kept");
        note_not_kept("target_rate_limit_not_kept", asked.target, *header,
                      to_string(*refused));
        return;
    }
    metrics_.count_rate_limit("kept");
    record_rate(asked, std::get<double>(named));
}

void condition_recorder::record_rate(const target_question& asked,
                                     std::optional<double> per_second)
{
    const auto news = known_.on_told_rate_limit(
        asked.target, asked.born, per_second, asked.asked_at, loop_.now());
    if (news == rate_limit_news::none)
        return;
    log_.rate_limit(asked.target, per_second,
                    asked.is_probe ? "probe" : "answer");
    handlers_.on_rate_limit(asked.target, news);
}

void condition_recorder::note_not_kept(std::string_view event,
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
