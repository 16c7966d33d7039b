#include "state/revision_spans.hpp"

#include <algorithm>

namespace vanillapost::router {

void revision_spans::add(const revision_span& added)
{
    if (added.upto <= complete_ || added.after >= added.upto)
        return;
    if (added.after <= complete_) {
        complete_ = added.upto;
        merge_reached_spans();
        return;
    }
    auto span = added;
    // Merges all spans that overlap it or are adjacent to it.
    auto next = ahead_.upper_bound(span.after);
    if (next != ahead_.begin() && std::prev(next)->second >= span.after)
        --next;
    while (next != ahead_.end() && next->first <= span.upto) {
        span.after = std::min(span.after, next->first);
        span.upto = std::max(span.upto, next->second);
        next = ahead_.erase(next);
    }
    ahead_.emplace(span.after, span.upto);
    if (ahead_.size() > max_spans)
        ahead_.erase(std::prev(ahead_.end()));
}

// Called after `complete_` has grown: it may now reach spans beyond it.
void revision_spans::merge_reached_spans()
{
    auto next = ahead_.begin();
    while (next != ahead_.end() && next->first <= complete_) {
        complete_ = std::max(complete_, next->second);
        next = ahead_.erase(next);
    }
}

std::vector<revision_span> revision_spans::gaps(std::uint64_t newest) const
{
    std::vector<revision_span> result;
    auto known = complete_;
    for (const auto& [after, upto] : ahead_) {
        result.push_back({known, after});
        known = upto;
    }
    if (known < newest)
        result.push_back({known, newest});
    return result;
}

std::vector<revision_span>
revision_spans::known_within(const revision_span& wanted) const
{
    std::vector<revision_span> result;
    const auto take = [&](std::uint64_t after, std::uint64_t upto) {
        const revision_span part{std::max(after, wanted.after),
                                 std::min(upto, wanted.upto)};
        if (part.after < part.upto)
            result.push_back(part);
    };
    take(0, complete_);
    for (const auto& [after, upto] : ahead_)
        take(after, upto);
    return result;
}

} // namespace vanillapost::router
