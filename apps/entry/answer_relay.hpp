#ifndef VANILLAPOST_APPS_ENTRY_ANSWER_RELAY_HPP
#define VANILLAPOST_APPS_ENTRY_ANSWER_RELAY_HPP

#include "call.hpp"

#include <functional>
#include <string_view>

namespace vanillapost::entry {

/// Answers up to this length are held until they are whole, so that one that
/// breaks off can be asked for again without the caller seeing it.
inline constexpr std::size_t max_buffered_bytes = 64 * 1024;

/// Whether the answer is too long, or of unknown length, to be buffered.
bool has_to_stream(const call& request, const attempt& from);

/// Sends the headers of the answer to the caller and what came of the body.
void start_streaming(call& request, attempt& from);

/// Gives a piece of the body to the caller. Reading from the target pauses
/// while the caller is slow.
void relay(call& request, attempt& from, std::string_view data);

/// Sends a whole buffered answer.
void reply_buffered(call& request, const attempt& from);

/// Whether an answer that broke off can be resumed by range.
bool can_resume(const call& request);

/// Changes the request to ask for the missing rest.
void ask_for_rest(call& request);

/// Whether this is the rest that was asked for.
bool continues(const call& request, const attempt& from);

} // namespace vanillapost::entry

#endif
