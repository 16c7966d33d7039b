#ifndef VANILLAPOST_APPS_ROUTER_TARGETS_TARGET_MESSAGE_HPP
#define VANILLAPOST_APPS_ROUTER_TARGETS_TARGET_MESSAGE_HPP

#include "languages/platform_language.hpp"
#include "vanillapost/attempts.hpp"
#include "vanillapost/src/io/target_pool.hpp"

namespace vanillapost::router {

/// A caller's request as it is sent to a target: headers of the caller's
/// connection go, the deadline and the only target that may run it come.
/// \param left  time until the deadline
std::string format_target_message(const io::http_request& request,
                                  const listed_target& target,
                                  const header_names& names, duration left);

/// What a target's answer is worth, by its headers.
attempt_outcome judge_answer(const io::target_answer_head& head,
                             const header_names& names);

/// The load report in an answer, if there is one that can be read.
std::optional<load_report> read_report(const io::target_answer_head& head,
                                       const platform_language& language);

} // namespace vanillapost::router

#endif
