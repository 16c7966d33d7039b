#ifndef VANILLAPOST_SRC_QUOTAS_QUOTA_LIMITER_HPP
#define VANILLAPOST_SRC_QUOTAS_QUOTA_LIMITER_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"
#include "../routes/configuration.hpp"
#include "quota_decision.hpp"
#include "quota_holder.hpp"
#include "quota_messages.hpp"
#include "quota_owner.hpp"
#include "quota_settings.hpp"
#include "quota_view.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace vanillapost {

/// A report and the member that it goes to.
struct quota_call
{
    entry_id to;
    quota_report report;
};

/// What one instance did with an organisation's requests since its start.
struct quota_usage
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t extra_attempts = 0;
    std::uint64_t granted = 0;            ///< tokens received from owners
    std::optional<time_point> refused_at; ///< latest refusal
};

/// Keeps the requests of each organisation within its quota, over all
/// instances together.
///
/// Each organisation has two owners among the members, and each of them grants
/// half of its quota as tokens that soon expire. An instance sends a request on
/// for a token. An owner uses tokens of its own only while the other owner
/// answers it, and nobody grants without seeing more than half of the members:
/// an instance that is cut off thus stops by itself. A member that becomes an
/// owner waits until the tokens of the previous one have expired.
///
/// State is kept for the organisations with a limit in the configuration in
/// force, and for members that asked within the last seconds.
class quota_limiter
{
public:
    /// \param started  start of this instance
    quota_limiter(entry_id self, time_point started,
                  const quota_settings& settings = {});

    /// Puts the limits of a configuration in force.
    void set_limits(std::span<const organisation> organisations,
                    time_point now);

    /// Has to be called when the members change.
    void set_view(const quota_view& view, time_point now);

    /// Whether any organisation has a limit; nothing is sent otherwise.
    bool is_needed() const
    {
        return !entries_.empty();
    }

    /// Decides on a request.
    /// \param is_new  not offered before
    quota_decision admit(const organisation_id& organisation, bool is_new,
                         time_point now);

    /// Refuses a request that was pending for too long.
    quota_refused refuse(const organisation_id& organisation, time_point now);

    /// The caller of a request that was pending has gone.
    void forget(const organisation_id& organisation);

    /// An admitted request was sent to one more target, as a retry or a hedge:
    /// each attempt counts.
    void charge(const organisation_id& organisation);

    /// Reports to be sent now. What this instance grants itself is taken.
    std::vector<quota_call> next_reports(time_point now);

    /// Grants what a member asks for.
    /// \return nullopt if this instance grants none of it, or has handled this
    ///         report or a later one
    std::optional<quota_reply> on_report(const quota_report& report,
                                         time_point now);

    void on_reply(const quota_reply& reply, time_point now);

    /// What became of the requests of all organisations with a limit.
    const std::map<organisation_id, quota_usage>& usage() const
    {
        return usage_;
    }

private:
    struct entry
    {
        quota limit;
        quota_holder holder;
        std::vector<entry_id> owners;
        std::optional<quota_owner> owned; ///< if this instance is an owner
        time_point free_until{};
    };

    struct sender
    {
        std::uint64_t number = 0;
        time_point at{};
    };

    struct sent_report
    {
        std::uint64_t number = 0;
        entry_id to;
        time_point at{};
    };

    void count_refusal(const organisation_id& organisation, time_point now);
    void update_owners(const organisation_id& id, entry& each, time_point now);
    double reserve() const;
    bool may_grant_itself(const entry& each, time_point now) const;
    void collect(const organisation_id& id, entry& each,
                 std::map<entry_id, quota_report>& reports, time_point now);
    bool is_newest(const quota_report& report, time_point now);
    void remove_silent_senders(time_point now);

    entry_id self_;
    quota_settings settings_;
    quota_view view_;
    std::map<organisation_id, entry> entries_;
    std::map<organisation_id, quota_usage> usage_;
    std::map<entry_id, sender> senders_;
    time_point senders_cleaned_{};
    std::deque<sent_report> sent_; ///< not answered, the oldest first
    std::uint64_t next_number_ = 1;
};

} // namespace vanillapost

#endif
