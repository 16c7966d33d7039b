#ifndef VANILLAPOST_APPS_ROUTER_STATE_RESTORED_ROWS_HPP
#define VANILLAPOST_APPS_ROUTER_STATE_RESTORED_ROWS_HPP

#include "vanillapost/base.hpp"
#include "vanillapost/src/io/row_store.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace vanillapost::router {

/// Holds back rows of a restored store that contradict newer ones.
///
/// A store that was restored from an older copy lacks what it acknowledged
/// since that copy. Operators and targets write that again, but not at once.
/// Until then what was acknowledged stays in effect here: a row of the copy
/// that is older than the one known, and the lack of a row that is known, take
/// effect only after a while, if nothing was written to that row meanwhile.
///
/// Where rows have versions of their own, an older row in the copy does no harm
/// and is not held, since whoever reads it compares the versions.
class restored_rows
{
public:
    using rows_by_key = std::map<std::string, io::store_row>;

    explicit restored_rows(bool rows_have_versions)
        : rows_have_versions_(rows_have_versions)
    {
    }

    /// Takes rows as they are in the restored store.
    /// \param rows   rows, and removals of those that the store lacks
    /// \param known  the rows known before, removals included
    /// \return the rows that take effect at once
    std::vector<io::store_row> hold(std::vector<io::store_row> rows,
                                    const rows_by_key& known, time_point now);

    /// Has to be called with rows that were changed in the restored store: a
    /// row that is held for the same key is void.
    void on_changed(std::span<const io::store_row> rows);

    /// The rows whose time is over, which take effect now.
    std::vector<io::store_row> take_due(time_point now);

    std::optional<time_point> next_due() const;

    std::size_t size() const
    {
        return held_.size();
    }

    /// How long a row is held that is older than the known one, or lacking.
    /// Writers that live have written theirs again by then.
    static constexpr duration rewrite_time = std::chrono::milliseconds(2500);
    /// How long a row is held whose removal is known. Longer than the entry of
    /// a target that has ended stays in the list.
    static constexpr duration expiry_time = std::chrono::seconds(6);

private:
    struct held_row
    {
        io::store_row row;
        time_point due;
    };

    bool contradicts(const io::store_row& row,
                     const io::store_row& known) const;

    bool rows_have_versions_;
    std::map<std::string, held_row> held_; ///< by key
};

} // namespace vanillapost::router

#endif
