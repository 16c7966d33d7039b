#include "records_controller.hpp"

#include <utility>

namespace vanillapost::entry {

namespace {

constexpr std::string_view prefix = "records/";
constexpr duration ask_interval = std::chrono::milliseconds(500);
constexpr std::size_t max_rows_bytes = 192 * 1024;

} // namespace

records_controller::records_controller(io::event_loop& loop,
                                       io::platform_client& platform,
                                       duration interval, send_to_peer send,
                                       std::function<void()> changed)
    : loop_(loop), platform_(platform), send_(std::move(send)),
      changed_(std::move(changed)), timer_(loop, [this] { poll(); })
{
    timer_.start_every(interval);
    loop.post([this] { poll(); });
}

void records_controller::poll()
{
    if (reading_)
        return;
    reading_ = true;
    platform_.changes(prefix, cursor_, [this](auto result) {
        reading_ = false;
        if (const auto* changes = std::get_if<table_changes>(&result))
            take_changes(*changes);
    });
}

void records_controller::take_changes(const table_changes& changes)
{
    for (const auto& row : changes.rows)
        apply({row.key, row.at, row.value}, "platform");
    cursor_ = std::max(cursor_, changes.latest);
    if (std::exchange(pending_change_, false))
        changed_();
}

void records_controller::apply(const record_row& row, std::string_view source)
{
    switch (records_.apply(row)) {
    case apply_result::applied:
        pending_change_ = true;
        io::log(io::log_level::info, "record in force",
                {{"step", "apply record"},
                 {"peer", std::string(source)},
                 {"key", row.key},
                 {"revision", std::to_string(row.at)}});
        break;
    case apply_result::refused:
        io::log(io::log_level::error, records_.refusal(row.key),
                {{"step", "apply record"},
                 {"peer", std::string(source)},
                 {"key", row.key},
                 {"revision", std::to_string(row.at)}});
        break;
    case apply_result::older:
        break;
    }
}

void records_controller::on_peer_revision(const entry_id& peer, revision latest)
{
    const auto now = loop_.now();
    if (latest <= records_.latest() || now < last_ask_ + ask_interval)
        return;
    last_ask_ = now;
    // The feed's cursor, not the highest revision: rows below the highest may
    // still be missing here.
    send_(peer, {{"t", "records_ask"}, {"since", cursor_}});
}

void records_controller::on_ask(const entry_id& peer,
                                const nlohmann::json& message)
{
    nlohmann::json rows = nlohmann::json::array();
    std::size_t bytes = 0;
    for (const auto& row :
         records_.rows_since(message.at("since").get<revision>())) {
        bytes += row.key.size() + row.text.value_or("").size();
        if (bytes > max_rows_bytes)
            break;
        rows.push_back({{"key", row.key},
                        {"revision", row.at},
                        {"text", row.text ? nlohmann::json(*row.text)
                                          : nlohmann::json()}});
    }
    send_(peer, {{"t", "records"}, {"rows", std::move(rows)}});
}

void records_controller::on_rows(const entry_id& peer,
                                 const nlohmann::json& message)
{
    for (const auto& row : message.at("rows")) {
        const auto& text = row.at("text");
        apply({row.at("key").get<std::string>(),
               row.at("revision").get<revision>(),
               text.is_null() ? std::nullopt
                              : std::optional(text.get<std::string>())},
              peer.value);
    }
    if (std::exchange(pending_change_, false))
        changed_();
}

} // namespace vanillapost::entry
