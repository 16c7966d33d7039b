#ifndef VANILLAPOST_SRC_TARGETS_DETAIL_BOUNDED_START_MAP_HPP
#define VANILLAPOST_SRC_TARGETS_DETAIL_BOUNDED_START_MAP_HPP

#include "../../base/identifier.hpp"

#include <cstddef>
#include <map>

namespace vanillapost::detail {

/// A map with one value for each target, which holds for certain starts of the
/// target. Values are kept when the target's row expires, since it may come
/// back, so their number is bounded: beyond it, the value with the earliest
/// start is evicted, whose target is the least likely to be still running.
/// \tparam Value  has `latest_start()`, the start time of the latest start that
///                it applies to; Unix ms
template <class Value, std::size_t MaxSize>
class bounded_start_map
{
public:
    /// The target's value; default-constructed if there was none.
    Value& get_or_create(const target_id& id)
    {
        const auto [found, added] = values_.try_emplace(id);
        if (added && values_.size() > MaxSize)
            evict_earliest(id);
        return found->second;
    }

    const Value* find(const target_id& id) const
    {
        const auto found = values_.find(id);
        return found == values_.end() ? nullptr : &found->second;
    }

    const std::map<target_id, Value>& all() const
    {
        return values_;
    }

    void erase(const target_id& id)
    {
        values_.erase(id);
    }

private:
    void evict_earliest(const target_id& kept)
    {
        auto earliest = values_.end();
        for (auto each = values_.begin(); each != values_.end(); ++each) {
            if (each->first == kept)
                continue;
            if (earliest == values_.end() ||
                each->second.latest_start() < earliest->second.latest_start())
                earliest = each;
        }
        values_.erase(earliest);
    }

    std::map<target_id, Value> values_;
};

} // namespace vanillapost::detail

#endif
