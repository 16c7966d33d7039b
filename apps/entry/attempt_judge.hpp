#ifndef VANILLAPOST_APPS_ENTRY_ATTEMPT_JUDGE_HPP
#define VANILLAPOST_APPS_ENTRY_ATTEMPT_JUDGE_HPP

#include "call.hpp"
#include "problem.hpp"

#include "vanillapost/admission.hpp"
#include "vanillapost/io.hpp"

#include <string_view>

namespace vanillapost::entry {

/// A run state as it stands in a problem.
ran_state ran_of(run_state state);

/// Reads the state that a target names in `Target-State` or a load report.
target_state parse_target_state(std::string_view text);

/// How a failed call counts for the target that it went to.
///
/// \param age  since it was sent
target_answer judge_failure(io::call_failure_kind kind, duration age);

/// How a whole answer counts for the target that gave it.
target_answer judge_answer(const attempt& from);

/// HTTP status of a refusal by the queue.
int status_of(refusal_reason reason);

/// What the caller is told of a refusal by the queue.
std::string_view detail_of(refusal_reason reason);

} // namespace vanillapost::entry

#endif
