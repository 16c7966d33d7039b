#ifndef VANILLAPOST_MEMBERS_HPP
#define VANILLAPOST_MEMBERS_HPP

/// Umbrella header of the members module: group membership of the instances,
/// failure detection, and the addresses that callers are given.

#include "src/members/address_selection.hpp"
#include "src/members/failure_detector.hpp"
#include "src/members/member.hpp"
#include "src/members/member_codec.hpp"
#include "src/members/member_list.hpp"
#include "src/members/member_table.hpp"
#include "src/members/reader_election.hpp"
#include "src/members/table_freshness.hpp"

#endif
