#ifndef VANILLAPOST_SRC_TARGETS_DETAIL_START_NOTES_HPP
#define VANILLAPOST_SRC_TARGETS_DETAIL_START_NOTES_HPP

#include "../../base/identifier.hpp"

#include <cstddef>
#include <map>

namespace vanillapost::detail {

/// Notes on starts of targets, one a target. They outlast rows, which may lapse
/// and come back, so their number is bounded: beyond it the note of the
/// earliest start goes, which is the one least likely to be still there.
/// \tparam Note  has `newest_born()`, of the starts that it speaks of
template <class Note, std::size_t Most>
class start_notes
{
public:
    /// The target's note; a new one where there is none.
    Note& of(const target_id& id)
    {
        const auto [found, added] = notes_.try_emplace(id);
        if (added && notes_.size() > Most)
            forget_earliest(id);
        return found->second;
    }

    const Note* find(const target_id& id) const
    {
        const auto found = notes_.find(id);
        return found == notes_.end() ? nullptr : &found->second;
    }

    const std::map<target_id, Note>& all() const
    {
        return notes_;
    }

    void erase(const target_id& id)
    {
        notes_.erase(id);
    }

private:
    void forget_earliest(const target_id& kept)
    {
        auto earliest = notes_.end();
        for (auto each = notes_.begin(); each != notes_.end(); ++each) {
            if (each->first == kept)
                continue;
            if (earliest == notes_.end() ||
                each->second.newest_born() < earliest->second.newest_born())
                earliest = each;
        }
        notes_.erase(earliest);
    }

    std::map<target_id, Note> notes_;
};

} // namespace vanillapost::detail

#endif
