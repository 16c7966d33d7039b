#ifndef VANILLAPOST_APPS_ROUTER_LANGUAGES_RECORDS_LANGUAGE_HPP
#define VANILLAPOST_APPS_ROUTER_LANGUAGES_RECORDS_LANGUAGE_HPP

#include "languages/platform_language.hpp"

namespace vanillapost::router {

/// The product's own interface: operators' records in a table, services
/// addressed by name, and the headers of docs/PROTOCOL.md.
platform_language make_records_language();

} // namespace vanillapost::router

#endif
