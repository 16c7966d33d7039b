#ifndef VANILLAPOST_APPS_LOAD_SVG_PLOT_HPP
#define VANILLAPOST_APPS_LOAD_SVG_PLOT_HPP

#include "statistics.hpp"

#include <string>

namespace vanillapost::load {

/// A picture of a run by second: median and p99 latency on a logarithmic
/// scale, and below it the calls that ended well and those that did not.
std::string plot_svg(const std::vector<call_counts>& seconds);

} // namespace vanillapost::load

#endif
