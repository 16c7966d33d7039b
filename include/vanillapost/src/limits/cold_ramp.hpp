#ifndef VANILLAPOST_SRC_LIMITS_COLD_RAMP_HPP
#define VANILLAPOST_SRC_LIMITS_COLD_RAMP_HPP

namespace vanillapost {

struct cold_ramp_settings
{
    int cold_slots = 1;     ///< level after any sign of cold
    int warm_slots = 1;     ///< level at which the target counts as warm
    int good_per_level = 8; ///< good completions needed to rise by one
};

/// Limit of a target in cold start, raised by completed work.
///
/// A target is cold until it has completed enough requests at each level.
/// Time alone never raises the level. A completion counts only when it ran
/// while the target was as busy as the level allows: work at a lower level
/// says nothing about the next one.
class cold_ramp
{
public:
    explicit cold_ramp(const cold_ramp_settings& settings);

    /// Requests that the target may have in flight.
    int level() const;

    bool warm() const
    {
        return warm_;
    }

    /// A request completed well.
    ///
    /// \param busy  most requests in flight while it ran, itself included
    void on_good(int busy);

    /// Drops to the cold level at once.
    void on_cold_sign();

    /// The target was proven warm by another entry.
    void on_warm_knowledge();

    /// Starts over the count at the present level, after slow or failed work.
    void on_doubt();

    /// Takes over limits that operators changed. A warm target stays warm.
    void change_limits(int cold_slots, int warm_slots);

private:
    cold_ramp_settings settings_;
    int level_;
    int good_ = 0;
    bool warm_ = false;
};

} // namespace vanillapost

#endif
