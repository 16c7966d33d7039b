#ifndef VANILLAPOST_APPS_ROUTER_STATE_REVISION_SPANS_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_REVISION_SPANS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace vanillapost::router {

/// The revisions above `after`, up to and including `upto`.
struct revision_span
{
    std::uint64_t after = 0;
    std::uint64_t upto = 0;

    bool operator==(const revision_span&) const = default;
};

/// The revisions of a table whose changes are all known: everything up to
/// `complete()`, and beyond it spans with gaps between them, where messages
/// were lost.
class revision_spans
{
public:
    void add(const revision_span& added);

    /// Up to this revision nothing is missing.
    std::uint64_t complete() const
    {
        return complete_;
    }

    /// The missing revisions up to `newest`, the oldest first.
    std::vector<revision_span> gaps(std::uint64_t newest) const;

    /// The parts of `wanted` that are known, the oldest first.
    std::vector<revision_span> known_within(const revision_span& wanted) const;

    /// Bounds the spans beyond the first gap. When there are more, the newest
    /// are forgotten, and so requested again.
    static constexpr std::size_t max_spans = 256;

private:
    void merge_reached_spans();

    std::uint64_t complete_ = 0;
    /// Spans beyond `complete_`, disjoint and not adjacent: `after` to `upto`.
    std::map<std::uint64_t, std::uint64_t> ahead_;
};

} // namespace vanillapost::router

#endif
