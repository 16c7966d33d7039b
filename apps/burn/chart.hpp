#ifndef VANILLAPOST_APPS_BURN_CHART_HPP
#define VANILLAPOST_APPS_BURN_CHART_HPP

#include "burn_report.hpp"

#include <string>

namespace vanillapost::burn_app {

/// Bars of the burn rate over each window, against the rates that page and
/// that open a ticket. The scale is logarithmic.
std::string burn_chart(const service_burn& service);

/// Share of bad answers over the time observed, with the share that the
/// objective allows.
std::string history_chart(const service_burn& service);

/// A length of time, such as "5 min" or "6 h".
std::string length_text(duration length);

} // namespace vanillapost::burn_app

#endif
