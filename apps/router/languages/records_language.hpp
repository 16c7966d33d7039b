#ifndef VANILLAPOST_APPS_ROUTER_LANGUAGES_RECORDS_LANGUAGE_HPP
#define VANILLAPOST_APPS_ROUTER_LANGUAGES_RECORDS_LANGUAGE_HPP

#include "languages/platform_language.hpp"

namespace vanillapost::router {

/// The product's own interface: operators' records in a table, services called
/// by their names, and headers as docs/PROTOCOL.md says.
platform_language make_records_language();

} // namespace vanillapost::router

#endif
