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
    /// An unanswered probe is sent once more after this time.
    duration retry_after = std::chrono::milliseconds(200);
    /// A member that has not answered by then is doubted.
    duration answer_limit = std::chrono::milliseconds(600);
    /// Members that are asked to look at a doubted one themselves.
    std::size_t helpers = 3;
    /// Members that have to doubt one for it to count as dead. One alone may
    /// be cut off itself.
    std::size_t doubters_needed = 2;
    duration doubt_lasts = std::chrono::seconds(3);
    /// Without a turn for so long this process stood still, and answers may
    /// wait unread: what is out is probed again.
    duration stall_limit = std::chrono::milliseconds(700);
    /// Every so many probes go to a dead member, so that both sides of a
    /// partition find each other again.
    int dead_member_every = 8;
};

/// Ask it for a sign of life.
struct send_probe
{
    member to;
};

/// Tell these that a member does not answer, so that they look themselves.
struct send_doubt
{
    entry_id about;
    std::string incarnation;
    std::vector<member> to;
};

/// Tell everybody, the member included, that it counts as dead.
struct send_death
{
    entry_id about;
    std::string incarnation;
};

using detector_action = std::variant<send_probe, send_doubt, send_death>;

/// Finds dead members in a fleet in which not everybody hears everybody.
///
/// Pattern it answers: heartbeats of all to all grow with the square of the
/// fleet. Here each member probes one other in each interval, in a random
/// order of all, so that the cost to a member is constant. Who gets no answer
/// asks a few others to look; two that found the same tell everybody. One that
/// is cut off or slow itself therefore declares nobody dead, and a member that
/// was declared dead and lives is back as soon as it is heard.
class failure_detector
{
public:
    failure_detector(const detector_settings& settings, random_engine random);

    /// To be called some times in a probe interval.
    std::vector<detector_action> advance(member_table& members, time_point now);

    /// Anything came from that member itself.
    void on_heard(const entry_id& from);

    /// Another member doubts one.
    std::vector<detector_action>
    on_doubt(const entry_id& about, const std::string& incarnation,
             const entry_id& by, member_table& members, time_point now);

private:
    struct outstanding
    {
        time_point sent{};
        bool repeated = false;
    };

    struct suspicion
    {
        std::string incarnation;
        std::map<entry_id, time_point> doubters;
    };

    void probe(const member& who, time_point now,
               std::vector<detector_action>& actions);
    void probe_next(const member_table& members, time_point now,
                    std::vector<detector_action>& actions);
    void check_answers(member_table& members, time_point now,
                       std::vector<detector_action>& actions);
    void doubt(const member& who, member_table& members, time_point now,
               std::vector<detector_action>& actions);
    void declare(const entry_id& name, const std::string& incarnation,
                 member_table& members, time_point now,
                 std::vector<detector_action>& actions);
    bool note_doubter(const entry_id& about, const std::string& incarnation,
                      const entry_id& by, time_point now);
    std::vector<member> choose_helpers(const entry_id& about,
                                       const member_table& members);
    void forget_old(time_point now);

    detector_settings settings_;
    random_engine random_;
    std::vector<entry_id> order_; ///< still to be probed in this round
    std::map<entry_id, outstanding> probes_;
    std::map<entry_id, suspicion> doubted_;
    std::optional<time_point> turn_;
    time_point next_probe_{};
    int probes_made_ = 0;
};

} // namespace vanillapost

#endif
