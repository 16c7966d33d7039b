#ifndef VANILLAPOST_APPS_ROUTER_STATE_REVISION_SPANS_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_REVISION_SPANS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace vanillapost::router {

/// Revisions above `after` up to `upto`, which is included.
struct revision_span
{
    std::uint64_t after = 0;
    std::uint64_t upto = 0;

    bool operator==(const revision_span&) const = default;
};

/// Of which revisions all changes of a table are known: all up to one, and
/// beyond it spans with gaps between them, where messages were lost.
class revision_spans
{
public:
    void add(const revision_span& known);

    /// Up to this revision nothing is missing.
    std::uint64_t complete() const
    {
        return complete_;
    }

    /// What is missing of the changes up to `newest`, the oldest first.
    std::vector<revision_span> gaps(std::uint64_t newest) const;

    /// The parts of a span that are known, the oldest first.
    std::vector<revision_span> known_within(const revision_span& wanted) const;

    /// Spans beyond the first gap. Of more, the newest are forgotten, and so
    /// asked for again.
    static constexpr std::size_t max_spans = 256;

private:
    void absorb();

    std::uint64_t complete_ = 0;
    /// Beyond `complete_`, apart from each other: `upto` by `after`.
    std::map<std::uint64_t, std::uint64_t> ahead_;
};

} // namespace vanillapost::router

#endif
