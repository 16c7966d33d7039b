#ifndef VANILLAPOST_APPS_ROUTER_ADAPTERS_RECORDS_ADAPTER_HPP
#define VANILLAPOST_APPS_ROUTER_ADAPTERS_RECORDS_ADAPTER_HPP

#include "adapters/platform_adapter.hpp"

namespace vanillapost::router {

/// The product's own interface: operators' records in a table, services
/// addressed by name, and the headers of docs/PROTOCOL.md.
platform_adapter make_records_adapter();

} // namespace vanillapost::router

#endif
