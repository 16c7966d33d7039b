#ifndef VANILLAPOST_APPS_BURN_HTML_PAGE_HPP
#define VANILLAPOST_APPS_BURN_HTML_PAGE_HPP

#include "burn_report.hpp"

#include <string>

namespace vanillapost::burn_app {

/// Replaces the characters that HTML gives a meaning.
std::string escape_html(std::string_view text);

/// The report as one page without scripts or outside files; charts are
/// inline SVG.
std::string html_page(const burn_report& report);

} // namespace vanillapost::burn_app

#endif
