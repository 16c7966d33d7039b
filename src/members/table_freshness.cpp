#include "vanillapost/src/members/table_freshness.hpp"

#include <algorithm>

namespace vanillapost {

table_freshness::table_freshness(duration silence_limit)
    : silence_limit_(silence_limit)
{
}

void table_freshness::update(std::uint64_t operators, bool reads_store,
                             std::span<const peer_status> live)
{
    behind_ = std::ranges::any_of(live, [&](const auto& each) {
        return each.heartbeat.revisions.operators > operators;
    });
    const bool has_source =
        reads_store || std::ranges::any_of(live, [&](const auto& each) {
            return is_reader(each);
        });
    confirmed_ = confirmed_ || (has_source && !behind_);
}

bool table_freshness::is_reader(const peer_status& each) const
{
    return each.heartbeat.following &&
           each.heartbeat.store == store_access::works &&
           each.silent_for <= silence_limit_;
}

} // namespace vanillapost
