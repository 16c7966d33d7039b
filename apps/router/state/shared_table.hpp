#ifndef VANILLAPOST_APPS_ROUTER_STATE_SHARED_TABLE_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_SHARED_TABLE_HPP

namespace vanillapost::router {

/// The tables whose changes instances pass on to each other.
enum class shared_table
{
    operators,
    targets
};

} // namespace vanillapost::router

#endif
