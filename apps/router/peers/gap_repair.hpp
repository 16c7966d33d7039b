#ifndef VANILLAPOST_APPS_ROUTER_PEERS_GAP_REPAIR_HPP
#define VANILLAPOST_APPS_ROUTER_PEERS_GAP_REPAIR_HPP

#include "state/revision_spans.hpp"
#include "vanillapost/base.hpp"
#include "vanillapost/members.hpp"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace vanillapost::router {

/// What a member knows of the table in question, as far as it has said.
using known_revision = std::function<std::uint64_t(const known_member&)>;

/// Whom to ask for changes of one table that were lost on their way, and when.
///
/// Pattern it answers: datagrams are lost, and hundreds of members lack other
/// ones each. Any member that has what is missing can answer, so questions go
/// to members drawn at random, near ones and those that are known to be ahead
/// in turn; neither readers nor links to other data centres bear them all.
class gap_repair
{
public:
    explicit gap_repair(random_engine random) : random_(random)
    {
    }

    /// Whom to ask now, if anybody.
    /// \param gaps  what is missing, the oldest first
    std::optional<member> next(std::span<const revision_span> gaps,
                               const member& self,
                               std::span<const known_member> live,
                               const known_revision& known, time_point now);

    /// When `next` has to be called again, while something is missing.
    time_point due() const
    {
        return due_;
    }

    /// Of so many spans a question asks at most.
    static constexpr std::size_t max_spans = 64;

private:
    std::optional<member>
    draw(std::span<const known_member> live,
         const std::function<bool(const known_member&)>& is_wanted);

    random_engine random_;
    bool is_missing_ = false;
    time_point due_{};
    std::uint64_t asked_ = 0;
};

/// Bounds what one member sends in answers to others' questions.
class repair_budget
{
public:
    /// Messages that may be sent now, of those that are wanted.
    std::size_t take(std::size_t wanted, time_point now);

    /// To one question.
    static constexpr std::size_t max_messages = 24;

private:
    time_point since_{};
    std::size_t taken_ = 0;
};

} // namespace vanillapost::router

#endif
