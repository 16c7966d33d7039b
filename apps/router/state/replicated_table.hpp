#ifndef VANILLAPOST_APPS_ROUTER_STATE_REPLICATED_TABLE_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_REPLICATED_TABLE_HPP

namespace vanillapost::router {

/// The tables of the store whose changes instances relay to each other.
enum class replicated_table
{
    operators,
    targets
};

} // namespace vanillapost::router

#endif
