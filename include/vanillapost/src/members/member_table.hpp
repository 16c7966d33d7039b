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
    /// Heartbeats that may be missed before a member counts as dead.
    double silence_heartbeats = 3.4;
    /// A member that is silent for so long is forgotten.
    duration forget_after = std::chrono::seconds(60);
    /// Up to so many members everybody sends heartbeats to everybody. In a
    /// larger fleet members are probed (\ref failure_detector).
    std::size_t members_at_full_rate = 24;
    /// A member that was heard so lately is not declared dead by others.
    duration life_sign_lasts = std::chrono::milliseconds(750);
};

/// A member and what it said last.
struct known_member
{
    member who;
    member_heartbeat heartbeat;
    /// Since it was heard by this instance itself; the maximum when it was
    /// only told of.
    duration silent_for{};
};

/// The instances, from the platform's store and their heartbeats.
///
/// A member that is dead is soon found: callers that are told its address lose
/// time on it. One that is only silent is kept and heard again.
class member_table
{
public:
    member_table(member self, const member_table_settings& settings = {});

    /// How a member is reached, from itself.
    void on_known(const member& who, time_point now);

    /// The same from a peer or the store, which may be old: a member that is
    /// heard speaks for itself.
    void on_listed(const member& who, time_point now);

    /// A member and its last heartbeat from a peer that takes it for live.
    void on_told(const member& who, const member_heartbeat& heartbeat,
                 time_point now);

    /// Enough members found that it does not answer.
    /// \return whether it was taken for live
    bool on_dead(const entry_id& name, const std::string& incarnation,
                 time_point now);

    /// Whether the member itself was heard within that time.
    bool was_heard(const entry_id& name, duration within, time_point now) const;

    /// Whether it was declared dead and has not been heard since.
    bool is_dead(const entry_id& name) const;

    /// A member that has to be probed and is not known to be dead.
    const member* find_probed(const entry_id& name) const;
    std::vector<entry_id> probed_peers() const;

    /// Members that were declared dead.
    std::vector<member> dead_peers() const;

    /// Whether the fleet is so large that this instance is probed as well.
    bool is_large() const
    {
        return peers_.size() + 1 > settings_.members_at_full_rate;
    }

    /// Digest of the live members, this one included; equal views have equal
    /// ones.
    std::uint64_t view(time_point now) const;

    /// \return false when the sender is unknown: ask it who it is
    bool on_heartbeat(const member_heartbeat& heartbeat, time_point now);

    /// Whether the set of live, ready or idle members changed since the last
    /// call.
    bool advance(time_point now);

    /// Those of the ready ones that are not idle.
    std::vector<member> busy_peers(time_point now) const;

    /// All that are known, to send heartbeats to.
    std::vector<member> peers() const;

    /// Members that live, without this one.
    std::vector<known_member> live_peers(time_point now) const;

    /// Members that live and take requests, without this one.
    std::vector<member> ready_peers(time_point now) const;

    duration heartbeat_interval() const
    {
        return settings_.heartbeat;
    }

    const member& self() const
    {
        return self_;
    }

private:
    struct entry
    {
        member who;
        member_heartbeat heartbeat;
        std::optional<time_point> heard;
        bool told_live = false;               ///< by a peer that takes it so
        std::optional<time_point> dead_since; ///< declared
        time_point known_since{};
        bool was_live = false;
        bool was_ready = false;
        bool was_busy = false;
    };

    bool is_live(const entry& each, time_point now) const;

    member self_;
    member_table_settings settings_;
    std::map<entry_id, entry> peers_;
    bool changed_ = false;
};

} // namespace vanillapost

#endif
