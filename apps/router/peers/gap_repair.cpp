#include "peers/gap_repair.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

/// Before the first request: another copy of the changes may still arrive.
constexpr duration initial_delay = 60ms;
/// Between two requests; a few round trips.
constexpr duration request_interval = 30ms;
constexpr duration budget_window = 100ms;
/// Answers in each window; a third of the capacity of a slow link.
constexpr std::size_t budget_messages = 80;

} // namespace

std::optional<member> gap_repair::next(std::span<const revision_span> gaps,
                                       const member& self,
                                       std::span<const peer_status> live,
                                       const revision_getter& get_revision,
                                       time_point now)
{
    if (gaps.empty()) {
        has_gaps_ = false;
        return std::nullopt;
    }
    if (!std::exchange(has_gaps_, true))
        due_ = now + initial_delay;
    if (now < due_)
        return std::nullopt;
    due_ = now + request_interval;
    const auto wanted = gaps.front().upto;
    const auto is_local = [&](const peer_status& each) {
        return each.who.data_centre == self.data_centre;
    };
    const auto is_ahead = [&](const peer_status& each) {
        return get_revision(each) >= wanted;
    };
    // Possibly only readers are ahead, so these members get one request of
    // eight.
    const auto turn = request_count_++ % 8;
    std::optional<member> chosen;
    if (turn % 2 == 0)
        chosen = pick_random(live, is_local);
    else if (turn == 7)
        chosen = pick_random(live, is_ahead);
    if (!chosen)
        chosen = pick_random(live, [](const peer_status&) { return true; });
    return chosen;
}

std::optional<member> gap_repair::pick_random(
    std::span<const peer_status> live,
    const std::function<bool(const peer_status&)>& is_eligible)
{
    std::vector<const member*> eligible;
    for (const auto& each : live)
        if (is_eligible(each))
            eligible.push_back(&each.who);
    if (eligible.empty())
        return std::nullopt;
    return *eligible[random_() % eligible.size()];
}

std::size_t repair_budget::take(std::size_t requested, time_point now)
{
    if (now >= window_start_ + budget_window) {
        window_start_ = now;
        used_ = 0;
    }
    const auto allowed =
        std::min({requested, max_messages, budget_messages - used_});
    used_ += allowed;
    return allowed;
}

} // namespace vanillapost::router
