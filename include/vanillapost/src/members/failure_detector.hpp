#ifndef VANILLAPOST_SRC_MEMBERS_FAILURE_DETECTOR_HPP
#define VANILLAPOST_SRC_MEMBERS_FAILURE_DETECTOR_HPP

#include "../base/random.hpp"
#include "../base/time.hpp"
#include "member_table.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace vanillapost {

struct detector_settings
{
    duration probe_interval = std::chrono::milliseconds(400);
    /// An unanswered probe is sent once more after this delay.
    duration probe_retry_delay = std::chrono::milliseconds(200);
    /// A member that has not answered within this time is suspected.
    duration answer_timeout = std::chrono::milliseconds(600);
    /// How many other members are asked to probe a suspected one.
    std::size_t indirect_probers = 3;
    /// How many members have to suspect a member before it is declared dead.
    /// A single one may itself be cut off from the others.
    std::size_t suspicion_quorum = 2;
    /// A report of a suspicion expires after this time.
    duration suspicion_lifetime = std::chrono::seconds(3);
    /// A longer gap between two calls of `advance` means that this process was
    /// stalled and may have answers that it has not read yet. Pending probes
    /// and suspicions are then discarded, and the members probed again.
    duration stall_limit = std::chrono::milliseconds(700);
    /// One probe in so many goes to a dead member, so that both sides of a
    /// network partition find each other again.
    int dead_probe_period = 8;
};

/// Action: send a probe to this member, which answers it.
struct send_probe
{
    member to;
};

/// Action: tell the members `to` that `about` does not answer, so that they
/// probe it themselves.
struct send_suspicion
{
    entry_id about;
    std::string incarnation;
    std::vector<member> to;
};

/// Action: tell all members, the one concerned included, that it was declared
/// dead.
struct broadcast_death
{
    entry_id about;
    std::string incarnation;
};

using detector_action =
    std::variant<send_probe, send_suspicion, broadcast_death>;

/// Failure detector for fleets that are too large for heartbeats from every
/// member to every other, whose number grows with the square of the size.
///
/// As in the SWIM protocol, each member probes one other member per interval,
/// in a random order of all, so that the cost per member is constant. A member
/// that gets no answer asks a few others to probe as well; when two of them
/// suspect the same member, it is declared dead to all. A member that is cut
/// off or slow itself therefore declares nobody dead. A live member that was
/// declared dead counts as live again as soon as a message from it arrives.
class failure_detector
{
public:
    failure_detector(const detector_settings& settings, random_engine random);

    /// Sends due probes and evaluates missing answers. To be called several
    /// times per probe interval.
    std::vector<detector_action> advance(member_table& members, time_point now);

    /// Any message from that member itself arrived.
    void on_message_from(const entry_id& from);

    /// The member `by` reported that it suspects `about`.
    std::vector<detector_action>
    on_suspicion(const entry_id& about, const std::string& incarnation,
                 const entry_id& by, member_table& members, time_point now);

private:
    struct pending_probe
    {
        time_point sent{};
        bool retried = false;
    };

    struct suspicion
    {
        std::string incarnation;
        std::map<entry_id, time_point> reporters;
    };

    void probe(const member& peer, time_point now,
               std::vector<detector_action>& actions);
    void probe_next(const member_table& members, time_point now,
                    std::vector<detector_action>& actions);
    void check_answers(member_table& members, time_point now,
                       std::vector<detector_action>& actions);
    void suspect(const member& peer, member_table& members, time_point now,
                 std::vector<detector_action>& actions);
    void declare_dead(const entry_id& name, const std::string& incarnation,
                      member_table& members, time_point now,
                      std::vector<detector_action>& actions);
    bool add_report(const entry_id& about, const std::string& incarnation,
                    const entry_id& by, time_point now);
    std::vector<member> choose_indirect_probers(const entry_id& about,
                                                const member_table& members);
    void expire_suspicions(time_point now);

    detector_settings settings_;
    random_engine random_;
    std::vector<entry_id> probe_order_; ///< not yet probed in this round
    std::map<entry_id, pending_probe> pending_probes_;
    std::map<entry_id, suspicion> suspicions_;
    std::optional<time_point> last_advance_;
    time_point next_probe_{};
    int probe_count_ = 0;
};

} // namespace vanillapost

#endif
