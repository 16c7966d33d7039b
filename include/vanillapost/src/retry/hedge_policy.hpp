#ifndef VANILLAPOST_SRC_RETRY_HEDGE_POLICY_HPP
#define VANILLAPOST_SRC_RETRY_HEDGE_POLICY_HPP

#include "retry_policy.hpp"

#include <memory>
#include <optional>

namespace vanillapost {

struct hedge_settings
{
    double quantile = 0.95; ///< of latency, after which a hedge is sent
    int fewest_samples = 50;
    int samples_per_window = 1000; ///< older answers lose half their weight
    duration shortest_delay = std::chrono::milliseconds(2);
    duration shortest_attempt = std::chrono::milliseconds(5);
};

namespace detail {
class latency_histogram;
}

/// Says when a second attempt of a slow lookup is sent beside the first.
///
/// The delay is a quantile of the service's observed latency. Only a lookup
/// that is no repeat is hedged, once, and only with a token of the retry
/// budget. The attempt that loses is cancelled by closing its connection.
class hedge_policy
{
public:
    explicit hedge_policy(const hedge_settings& settings = {});
    ~hedge_policy();
    hedge_policy(hedge_policy&& other) noexcept;
    hedge_policy& operator=(hedge_policy&& other) noexcept;

    /// Latency of a whole, good answer, from dispatch.
    void observe(duration latency);

    /// Delay after dispatch; nothing while too little is known.
    std::optional<duration> delay() const;

    /// When to hedge a request that is dispatched at `now`; nothing for never.
    std::optional<time_point> hedge_at(const request_facts& request,
                                       time_point now) const;

    /// At that time: whether to send the hedge. Takes a token if so.
    bool try_hedge(const request_facts& request, time_point now,
                   retry_budget& budget) const;

private:
    hedge_settings settings_;
    std::unique_ptr<detail::latency_histogram> latencies_;
    int until_update_;
    std::optional<duration> delay_;
};

} // namespace vanillapost

#endif
