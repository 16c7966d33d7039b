#include "vanillapost/src/attempts/run_state.hpp"

namespace vanillapost {

std::string_view to_string(run_state state)
{
    switch (state) {
    case run_state::no:
        return "no";
    case run_state::maybe:
        return "maybe";
    case run_state::yes:
        break;
    }
    return "yes";
}

} // namespace vanillapost
