#ifndef VANILLAPOST_APPS_ENTRY_PROBLEM_HPP
#define VANILLAPOST_APPS_ENTRY_PROBLEM_HPP

#include "vanillapost/base.hpp"
#include "vanillapost/io.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace vanillapost::entry {

/// Whether a request that was not answered by a target ran on one.
enum class ran_state
{
    no,
    maybe,
    yes,
};

/// An answer that the entry gives itself.
struct problem
{
    int status = 503;
    std::string detail;
    std::string step; ///< filter at which the request ended
    ran_state ran = ran_state::no;
    std::optional<duration> retry_after;
};

/// Sends a problem as application/problem+json, with Retry-After.
void reply_problem(io::server_exchange& exchange, const problem& value,
                   std::string_view request_id);

} // namespace vanillapost::entry

#endif
