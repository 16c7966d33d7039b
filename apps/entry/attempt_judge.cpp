#include "attempt_judge.hpp"

namespace vanillapost::entry {

ran_state ran_of(run_state state)
{
    return static_cast<ran_state>(static_cast<int>(state));
}

target_state parse_target_state(std::string_view text)
{
    if (text == "cold")
        return target_state::cold;
    if (text == "warm")
        return target_state::warm;
    if (text == "draining")
        return target_state::draining;
    return target_state::unknown;
}

target_answer judge_failure(io::call_failure_kind kind, duration age)
{
    target_answer result{.how = completion::broken,
                         .quality = answer_quality::failed,
                         .latency = age};
    if (kind == io::call_failure_kind::refused ||
        kind == io::call_failure_kind::connect_timeout)
        result.how = completion::refused;
    else if (kind == io::call_failure_kind::timeout)
        result.how = completion::timed_out;
    return result;
}

target_answer judge_answer(const attempt& from)
{
    target_answer result{.state = from.state, .latency = from.latency};
    if (from.not_run) {
        const auto reason = io::find_header(from.headers, "Not-Run");
        const bool shed = reason == "shed";
        result.how = shed ? completion::shed : completion::not_run;
        result.quality = answer_quality::shed;
    } else if (from.status >= 500) {
        result.how = completion::failed;
        result.quality = answer_quality::failed;
    }
    return result;
}

int status_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::queue_full:
    case refusal_reason::displaced:
        return 429;
    case refusal_reason::too_late:
        return 503;
    case refusal_reason::expired:
        return 504;
    }
    return 503;
}

std::string_view detail_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::queue_full:
        return "the queue of the service is full";
    case refusal_reason::displaced:
        return "requests of a higher class took its place in the queue";
    case refusal_reason::too_late:
        return "no target would be free before the deadline";
    case refusal_reason::expired:
        return "the deadline passed before a target was free";
    }
    return "";
}

} // namespace vanillapost::entry
