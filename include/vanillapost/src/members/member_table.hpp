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
    /// Silence, in heartbeat intervals, after which a member counts as dead.
    double max_missed_heartbeats = 3.4;
    /// A member that is not live is removed after this time of silence.
    duration forget_after = std::chrono::seconds(60);
    /// Up to this size of the fleet, every member sends heartbeats to every
    /// other. In a larger fleet members are probed (\ref failure_detector).
    std::size_t max_full_mesh_members = 24;
    /// A declaration of death by another member is ignored while this instance
    /// has heard from the member within this time.
    duration min_silence_before_death = std::chrono::milliseconds(750);
};

/// A peer, its last heartbeat, and how long it has been silent.
struct peer_status
{
    member who;
    member_heartbeat heartbeat;
    /// Time since this instance itself last heard from it; `duration::max()`
    /// when it is known only from reports of other peers.
    duration silent_for{};
};

/// Table of the instances, learned from the platform's store, from heartbeats
/// and from peers.
///
/// Dead members are detected quickly, because callers that are given their
/// addresses lose time on them. A silent member stays in the table for a while
/// and counts as live again when it is heard.
class member_table
{
public:
    member_table(member self, const member_table_settings& settings = {});

    /// A member has sent its identity and addresses itself.
    void on_identity(const member& who, time_point now);

    /// The same from a peer or the store, which may be outdated. It is ignored
    /// for a live member, whose own messages take precedence.
    void on_listed(const member& who, time_point now);

    /// A peer that considers the member live has reported it, with its last
    /// heartbeat.
    void on_peer_report(const member& who, const member_heartbeat& heartbeat,
                        time_point now);

    /// The member was declared dead. Ignored for a member that is not probed or
    /// that this instance has heard from within `min_silence_before_death`.
    /// \return whether this call marked it as dead
    bool on_declared_dead(const entry_id& name, const std::string& incarnation,
                          time_point now);

    /// Whether this instance heard from the member itself within that time.
    bool was_heard(const entry_id& name, duration within, time_point now) const;

    /// Whether it was declared dead and has not been heard from since.
    bool is_dead(const entry_id& name) const;

    /// The member if it is live, else null.
    const member* find_live(const entry_id& name, time_point now) const;

    /// The member if it is subject to probes and not declared dead, else null.
    const member* find_probed(const entry_id& name) const;
    std::vector<entry_id> probed_peers() const;

    /// Members that were declared dead and did not announce their shutdown.
    std::vector<member> dead_peers() const;

    /// Whether the fleet is too large for heartbeats from every member to every
    /// other, so that this instance is probed too.
    bool is_large() const
    {
        return peers_.size() + 1 > settings_.max_full_mesh_members;
    }

    /// Digest of the set of live members, this one included. Equal sets have
    /// equal digests.
    std::uint64_t view_digest(time_point now) const;

    /// \return false when the sender is unknown and has to be asked for its
    ///         identity
    bool on_heartbeat(const member_heartbeat& heartbeat, time_point now);

    /// Updates the state of all members and removes old ones.
    /// \return whether the set of live, ready or idle members changed since the
    ///         last call
    bool advance(time_point now);

    /// Members that this instance has known to be live, that are silent now and
    /// did not announce their shutdown.
    std::vector<entry_id> missed_peers(time_point now) const;

    /// Members that announced their shutdown.
    std::vector<entry_id> leaving_peers() const;

    /// Ready members that are not idle, without this one.
    std::vector<member> active_peers(time_point now) const;

    /// All known members, live or not, to send heartbeats to.
    std::vector<member> peers() const;

    /// Live members, without this one.
    std::vector<peer_status> live_peers(time_point now) const;

    /// Live members that accept requests and reach targets, without this one.
    std::vector<member> ready_peers(time_point now) const;

    /// Live members that accept requests but are partitioned from all targets.
    std::vector<member> cut_off_peers(time_point now) const;

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
        std::optional<time_point> last_heard;
        bool reported_live = false;           ///< by a peer
        std::optional<time_point> dead_since; ///< when declared so
        time_point known_since{};
        bool was_live = false;
        bool was_ready = false;
        bool was_active = false;
    };

    bool is_live(const entry& each, time_point now) const;
    bool is_ready(const entry& each, time_point now) const;

    member self_;
    member_table_settings settings_;
    std::map<entry_id, entry> peers_;
    bool changed_ = false;
};

} // namespace vanillapost

#endif
