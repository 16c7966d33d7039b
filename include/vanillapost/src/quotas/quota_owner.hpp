#ifndef VANILLAPOST_SRC_QUOTAS_QUOTA_OWNER_HPP
#define VANILLAPOST_SRC_QUOTAS_QUOTA_OWNER_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"
#include "../routes/configuration.hpp"
#include "quota_messages.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace vanillapost {

/// An owner's part of one organisation's quota: a token bucket from which it
/// grants requests to the instances that ask.
///
/// Tokens that are granted expire soon, and what was not used is returned, so
/// that an instance that is cut off or ends takes little with it. While the
/// organisation asks for far less than it may, tokens live longer, and
/// instances ask less often.
class quota_owner
{
public:
    /// Grants nothing before `begin`: until then another instance may do so.
    /// \param token_lifetime  of what is granted, unless there is plenty
    quota_owner(time_point begin, duration token_lifetime)
        : token_lifetime_(token_lifetime), filled_at_(begin)
    {
    }

    /// Sets the part of the quota that this instance grants, from 0 to 1.
    void set_limit(const quota& limit, double part, time_point now);

    quota_grant grant(const entry_id& holder, const quota_demand& demand,
                      time_point now);

private:
    struct holder
    {
        time_point asked_at{};
        std::uint32_t granted = 0; ///< and not returned, of late
    };

    void refill(time_point now);
    void take_back(holder& from, std::uint32_t returned);
    void remove_silent_holders(time_point now);
    bool may_live_long(std::uint32_t tokens, time_point now);
    duration ask_interval() const;

    duration token_lifetime_{};
    double rate_ = 0;   ///< tokens a second
    double burst_ = 0;  ///< most tokens at once
    double tokens_ = 0; ///< not granted
    time_point filled_at_{};
    time_point cleaned_at_{};
    std::map<entry_id, holder> holders_;
    /// Tokens that live long, and when they end.
    std::deque<std::pair<time_point, std::uint32_t>> long_lived_;
    std::uint32_t long_lived_tokens_ = 0;
};

} // namespace vanillapost

#endif
