#ifndef VANILLAPOST_SRC_RECORDS_RECORD_SET_HPP
#define VANILLAPOST_SRC_RECORDS_RECORD_SET_HPP

#include "record.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillapost {

/// A row of the table that holds a record, or its withdrawal.
struct record_row
{
    std::string key;
    revision at = 0;
    std::optional<std::string> text; ///< absent when withdrawn
};

/// What became of a row that was offered to a \ref record_set.
enum class apply_result
{
    applied,
    older,   ///< not newer than the row in force; ignored
    refused, ///< the record is bad; the one in force stays
};

/// The records in force in one process.
///
/// The revision in force for a key only rises: a late or older row never
/// replaces a newer one, whatever order rows arrive in. A bad row leaves the
/// last good record in force.
class record_set
{
public:
    /// Offers a row, from the table or from a peer.
    apply_result apply(const record_row& row);

    /// The text of the problem with the last refused row for `key`, or "".
    std::string refusal(std::string_view key) const;

    const target_record* find(const target_id& name) const;
    const service_record* find(const service_id& name) const;
    const data_centre_record* find(const data_centre_id& name) const;

    /// Every target in force, by name.
    const std::map<target_id, target_record>& targets() const
    {
        return targets_;
    }

    const std::map<service_id, service_record>& services() const
    {
        return services_;
    }

    const std::map<data_centre_id, data_centre_record>& data_centres() const
    {
        return data_centres_;
    }

    /// Routes by name.
    const std::map<std::string, route_record, std::less<>>& routes() const
    {
        return routes_;
    }

    /// Highest revision seen.
    revision latest() const
    {
        return latest_;
    }

    /// Whether a target may be given new work: its own record and that of
    /// its data centre say `in`, and its service is known.
    bool takes_work(const target_record& target) const;

private:
    void remove(std::string_view key);
    void store(const record& value);

    std::map<std::string, record_row, std::less<>> rows_;
    std::map<std::string, std::string, std::less<>> refusals_;
    std::map<target_id, target_record> targets_;
    std::map<service_id, service_record> services_;
    std::map<data_centre_id, data_centre_record> data_centres_;
    std::map<std::string, route_record, std::less<>> routes_;
    revision latest_ = 0;
};

} // namespace vanillapost

#endif
