#ifndef VANILLAPOST_APPS_ENTRY_RECORDS_CONTROLLER_HPP
#define VANILLAPOST_APPS_ENTRY_RECORDS_CONTROLLER_HPP

#include "vanillapost/io.hpp"
#include "vanillapost/records.hpp"

#include <functional>
#include <nlohmann/json.hpp>

namespace vanillapost::entry {

/// Keeps the records in force up to date: from the table's feed of changes,
/// and from peers while the platform is out or slow.
class records_controller
{
public:
    using send_to_peer =
        std::function<bool(const entry_id&, const nlohmann::json&)>;

    /// \param changed  called after rows came into force
    records_controller(io::event_loop& loop, io::platform_client& platform,
                       duration interval, send_to_peer send,
                       std::function<void()> changed);

    const record_set& records() const
    {
        return records_;
    }

    /// Whether anything has been learnt yet, from the platform or a peer.
    bool ready() const
    {
        return records_.latest() > 0;
    }

    /// A peer said which revision it has; asks it when that is newer.
    void on_peer_revision(const entry_id& peer, revision latest);

    /// Answers a peer's `records_ask`.
    void on_ask(const entry_id& peer, const nlohmann::json& message);

    /// Takes the rows of a peer's `records`.
    void on_rows(const entry_id& peer, const nlohmann::json& message);

private:
    void poll();
    void apply(const record_row& row, std::string_view source);
    void take_changes(const table_changes& changes);

    io::event_loop& loop_;
    io::platform_client& platform_;
    send_to_peer send_;
    std::function<void()> changed_;
    record_set records_;
    revision cursor_ = 0; ///< the feed has been read up to here
    bool reading_ = false;
    bool pending_change_ = false;
    time_point last_ask_{};
    io::timer timer_;
};

} // namespace vanillapost::entry

#endif
