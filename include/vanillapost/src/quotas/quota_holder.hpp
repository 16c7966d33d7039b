#ifndef VANILLAPOST_SRC_QUOTAS_QUOTA_HOLDER_HPP
#define VANILLAPOST_SRC_QUOTAS_QUOTA_HOLDER_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"
#include "quota_decision.hpp"
#include "quota_messages.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace vanillapost {

/// One instance's tokens of one organisation, and what it asks for.
class quota_holder
{
public:
    /// \param started  nothing is admitted without an owner's grant for a while
    ///                 after it
    explicit quota_holder(time_point started) : reserve_at_(started)
    {
    }

    /// Sets the instances that grant, in place of the previous ones.
    void set_owners(std::span<const entry_id> owners);

    /// Sets how many requests this instance may send on in a window without a
    /// grant.
    void set_reserve(double per_window)
    {
        reserve_per_window_ = per_window;
    }

    /// Decides on a request.
    /// \param is_new  not offered before
    quota_decision admit(bool is_new, time_point now);

    /// A request that was pending is offered no more.
    void stop_waiting()
    {
        waiting_ -= waiting_ > 0 ? 1 : 0;
    }

    /// Time after which a caller that is refused now should come back: callers
    /// are told times one after the other.
    duration return_time(time_point now);

    /// An admitted request was sent to one more target.
    void charge()
    {
        debt_ += 1;
    }

    /// What is to be asked of an owner now, if anything.
    /// \param may_ask  whether the owner can be asked
    std::optional<quota_demand> next_demand(const entry_id& owner,
                                            time_point now);

    /// A demand of this owner was sent.
    void on_asked(const entry_id& owner, const quota_demand& demand,
                  time_point now);

    /// \param asked_at  when the report was sent
    void on_grant(const entry_id& owner, const quota_grant& grant,
                  time_point asked_at, time_point now);

    /// Whether this owner has answered a report sent within that time.
    bool was_answered(const entry_id& owner, duration within,
                      time_point now) const;

    /// Whether tokens run out, or are to be returned.
    bool needs_report(time_point now) const;

    /// Tokens that can be used now.
    std::uint32_t tokens(time_point now) const;

private:
    struct source
    {
        entry_id owner;
        std::optional<time_point> asked_at; ///< of a report not answered yet
        std::uint32_t asked_for = 0;        ///< in that report
        std::optional<time_point> answered; ///< latest report with an answer
        int unanswered = 0;                 ///< reports in a row
        time_point short_until{};
    };

    struct lot
    {
        entry_id owner;
        std::uint32_t tokens = 0;
        time_point expires{};
    };

    source* find(const entry_id& owner);
    const source* find(const entry_id& owner) const;
    bool can_ask(const source& each, time_point now) const;
    bool is_short(time_point now) const;
    bool is_awaited(const source& each, time_point now) const;
    std::uint32_t take_expired(const entry_id& owner, time_point now);
    bool needs_tokens(time_point now) const;
    bool must_return(time_point now) const;
    std::uint32_t asked_for(time_point now) const;
    std::uint32_t wanted(time_point now) const;
    bool take(time_point now);
    void pay_debt(time_point now);
    bool take_reserve(time_point now);
    double demand_rate(time_point now) const;

    std::vector<source> sources_;
    std::vector<lot> lots_; ///< the first to expire comes first
    double reserve_per_window_ = 0;
    double reserve_ = 0;
    time_point reserve_at_{};
    std::uint32_t debt_ = 0;
    std::uint32_t waiting_ = 0; ///< requests that are pending
    double demand_ = 0;         ///< requests a second, decaying
    time_point demand_at_{};
    double use_ = 0; ///< admitted requests a second, decaying
    time_point use_at_{};
    time_point next_return_{};
    double spread_ = 0; ///< of return times beyond the schedule
};

} // namespace vanillapost

#endif
