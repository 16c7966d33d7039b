#ifndef VANILLAPOST_ROUTES_HPP
#define VANILLAPOST_ROUTES_HPP

/// Umbrella header of the routes module: the operators' configuration and the
/// route of a request.

#include "src/routes/configuration.hpp"
#include "src/routes/key_index.hpp"
#include "src/routes/part_picker.hpp"
#include "src/routes/record_configuration.hpp"
#include "src/routes/route_table.hpp"

#endif
