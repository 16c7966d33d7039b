#include "peers/gap_repair.hpp"

#include <algorithm>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

/// Another copy of what is missing may still be on its way.
constexpr duration patience = 60ms;
/// Between two questions, some round trips.
constexpr duration question_interval = 30ms;
constexpr duration budget_interval = 100ms;
/// Of answers in that time: a third of a slow link.
constexpr std::size_t budget_messages = 80;

} // namespace

std::optional<member> gap_repair::next(std::span<const revision_span> gaps,
                                       const member& self,
                                       std::span<const known_member> live,
                                       const known_revision& known,
                                       time_point now)
{
    if (gaps.empty()) {
        is_missing_ = false;
        return std::nullopt;
    }
    if (!std::exchange(is_missing_, true))
        due_ = now + patience;
    if (now < due_)
        return std::nullopt;
    due_ = now + question_interval;
    const auto wanted = gaps.front().upto;
    const auto is_near = [&](const known_member& each) {
        return each.who.data_centre == self.data_centre;
    };
    const auto is_ahead = [&](const known_member& each) {
        return known(each) >= wanted;
    };
    // Readers alone may be ahead: they get one question of eight.
    const auto turn = asked_++ % 8;
    std::optional<member> chosen;
    if (turn % 2 == 0)
        chosen = draw(live, is_near);
    else if (turn == 7)
        chosen = draw(live, is_ahead);
    if (!chosen)
        chosen = draw(live, [](const known_member&) { return true; });
    return chosen;
}

std::optional<member>
gap_repair::draw(std::span<const known_member> live,
                 const std::function<bool(const known_member&)>& is_wanted)
{
    std::vector<const member*> found;
    for (const auto& each : live)
        if (is_wanted(each))
            found.push_back(&each.who);
    if (found.empty())
        return std::nullopt;
    return *found[random_() % found.size()];
}

std::size_t repair_budget::take(std::size_t wanted, time_point now)
{
    if (now >= since_ + budget_interval) {
        since_ = now;
        taken_ = 0;
    }
    const auto allowed =
        std::min({wanted, max_messages, budget_messages - taken_});
    taken_ += allowed;
    return allowed;
}

} // namespace vanillapost::router
