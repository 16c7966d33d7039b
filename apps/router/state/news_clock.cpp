#include "state/news_clock.hpp"

#include <algorithm>

namespace vanillapost::router {

void news_clock::note(std::uint64_t revision, time_point at)
{
    const auto [mark, added] = marks_.try_emplace(revision, at);
    if (!added)
        mark->second = std::min(mark->second, at);
    if (marks_.size() > max_marks)
        marks_.erase(marks_.begin());
}

std::optional<time_point> news_clock::missing_since(std::uint64_t known) const
{
    std::optional<time_point> result;
    for (auto mark = marks_.upper_bound(known); mark != marks_.end(); ++mark)
        result = std::min(result.value_or(mark->second), mark->second);
    return result;
}

duration news_clock::age(std::uint64_t revision, time_point now) const
{
    const auto mark = marks_.lower_bound(revision);
    return mark == marks_.end() ? duration::zero() : now - mark->second;
}

} // namespace vanillapost::router
