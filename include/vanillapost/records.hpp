#ifndef VANILLAPOST_RECORDS_HPP
#define VANILLAPOST_RECORDS_HPP

/// Umbrella header of the records module: what operators write, how it is
/// parsed, and the set of records in force.

#include "src/records/field_error.hpp"
#include "src/records/parse_record.hpp"
#include "src/records/record.hpp"
#include "src/records/record_set.hpp"
#include "src/records/target_limits.hpp"

#endif
