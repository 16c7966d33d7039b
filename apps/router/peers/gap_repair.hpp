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

/// Revision up to which a member knows the table in question, as last reported
/// by that member.
using revision_getter = std::function<std::uint64_t(const peer_status&)>;

/// Decides when to request lost changes of one table, and from which member.
///
/// When datagrams are lost, each of hundreds of members lacks different ones.
/// Any member that has the missing changes can answer, so requests go to
/// randomly chosen members: to those of the own data centre, to any, and to
/// those that are known to be ahead, in turn. This way neither the readers nor
/// the links to other data centres carry all requests.
class gap_repair
{
public:
    explicit gap_repair(random_engine random) : random_(random)
    {
    }

    /// Returns the member to send a request to now, if one is due.
    /// \param gaps  missing revisions, the oldest first
    /// \param live  members to choose from
    std::optional<member> next(std::span<const revision_span> gaps,
                               const member& self,
                               std::span<const peer_status> live,
                               const revision_getter& get_revision,
                               time_point now);

    /// When `next` has to be called again while changes are missing.
    time_point due() const
    {
        return due_;
    }

    /// Maximum number of spans in one request.
    static constexpr std::size_t max_spans = 64;

private:
    std::optional<member>
    pick_random(std::span<const peer_status> live,
                const std::function<bool(const peer_status&)>& is_eligible);

    random_engine random_;
    bool has_gaps_ = false;
    time_point due_{};
    std::uint64_t request_count_ = 0;
};

/// Limits how many messages a member sends in answer to repair requests.
class repair_budget
{
public:
    /// Uses up the budget for up to `requested` messages.
    /// \return number of messages that may be sent now
    std::size_t take(std::size_t requested, time_point now);

    /// In answer to one request.
    static constexpr std::size_t max_messages = 24;

private:
    time_point window_start_{};
    std::size_t used_ = 0;
};

} // namespace vanillapost::router

#endif
