#ifndef VANILLAPOST_TABLE_HPP
#define VANILLAPOST_TABLE_HPP

/// Umbrella header of the table module: the values that go to and come from
/// the platform's transactional table.

#include "src/table/table.hpp"

#endif
