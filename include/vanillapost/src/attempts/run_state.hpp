#ifndef VANILLAPOST_SRC_ATTEMPTS_RUN_STATE_HPP
#define VANILLAPOST_SRC_ATTEMPTS_RUN_STATE_HPP

#include <string_view>

namespace vanillapost {

/// Whether a request has run, as far as this instance knows.
enum class run_state
{
    no,
    maybe,
    yes,
};

/// "no", "maybe" or "yes".
std::string_view to_string(run_state state);

} // namespace vanillapost

#endif
