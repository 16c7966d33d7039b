#ifndef VANILLAPOST_SRC_PLACEMENT_LOAD_REPORT_HPP
#define VANILLAPOST_SRC_PLACEMENT_LOAD_REPORT_HPP

namespace vanillapost {

/// Slowdown that is assumed of a machine without a recent report: the mean
/// where a quarter of the machines works four times slower at any time.
inline constexpr double typical_slowdown = 1.6;

/// The load that a target reports in a response or in the answer to a probe.
struct load_report
{
    int running = 0;
    int waiting = 0;
    int slots = 1;
    /// Factor by which work now takes longer on its machine; 1 is normal. Other
    /// programs on the machine change it many times a second.
    double slowdown_factor = 1;

    bool operator==(const load_report&) const = default;
};

} // namespace vanillapost

#endif
