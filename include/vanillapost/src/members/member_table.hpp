#ifndef VANILLAPOST_SRC_MEMBERS_MEMBER_TABLE_HPP
#define VANILLAPOST_SRC_MEMBERS_MEMBER_TABLE_HPP

#include "../base/time.hpp"
#include "member.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace vanillapost {

struct member_table_settings
{
    duration heartbeat = std::chrono::milliseconds(500);
    /// Without a heartbeat for so long a member counts as dead.
    duration silence_limit = std::chrono::milliseconds(1700);
    /// A listed member that was never heard is forgotten after this.
    duration forget_after = std::chrono::seconds(60);
    /// Members beyond which heartbeats are sent more rarely.
    std::size_t members_at_full_rate = 50;
};

/// The instances, from the platform's list and their heartbeats.
///
/// A member that is dead is soon found: callers that are told its address lose
/// time on it. One that is only silent is kept and heard again.
class member_table
{
public:
    member_table(member self, const member_table_settings& settings = {});

    /// From the platform's list, or from a peer. Tells only how it is reached.
    void on_known(const member& who, time_point now);

    /// \return whether the set of live or ready members changed
    bool on_status(const member_status& status, time_point now);

    /// The instance's row was withdrawn.
    bool on_withdrawn(const entry_id& name);

    /// Drops members that are silent for long; returns whether the set of
    /// live members changed since the last call.
    bool advance(time_point now);

    /// Peers to send a heartbeat to: all that are known.
    std::vector<member> peers() const;

    /// Live members that take requests, without this one.
    std::vector<member> ready_peers(time_point now) const;

    /// Live members, without this one.
    std::vector<member_status> live_peers(time_point now) const;

    /// Silent for as long as `forget_after`.
    std::vector<member> forgotten(time_point now) const;

    duration heartbeat_interval() const;

    const member& self() const
    {
        return self_;
    }

private:
    struct entry
    {
        member_status status;
        std::optional<time_point> heard;
        time_point known_since{};
        bool was_live = false;
    };

    bool is_live(const entry& each, time_point now) const;

    member self_;
    member_table_settings settings_;
    std::map<entry_id, entry> peers_;
};

} // namespace vanillapost

#endif
