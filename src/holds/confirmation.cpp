#include "vanillapost/src/holds/confirmation.hpp"
#include "vanillapost/src/base/error.hpp"

#include <algorithm>

namespace vanillapost {

namespace {

bool written_by(const table_row& row, const std::string& incarnation)
{
    if (!row.value) {
        return false;
    }
    try {
        return parse_heartbeat_row(*row.value).incarnation == incarnation;
    } catch (const error&) {
        return false;
    }
}

} // namespace

confirmation::confirmation(entry_incarnation self,
                           const hold_settings& settings)
    : self_(std::move(self)), settings_(settings)
{
}

confirmation::due confirmation::start(time_point now)
{
    if (superseded_ || request_open_ || now < next_at_) {
        return std::monostate{};
    }
    request_open_ = true;
    next_at_ = now + settings_.heartbeat_interval;
    if (!row_known_) {
        return read_due{heartbeat_key(self_.name)};
    }
    if (!unanswered_) {
        unanswered_ = next_write();
        first_sent_ = now;
    }
    return write_due{*unanswered_};
}

table_transaction confirmation::next_write()
{
    ++count_;
    const std::string key = heartbeat_key(self_.name);
    table_operation put{
        .key = key,
        .expected = at_,
        .what = table_operation::action::put,
        .value = to_text(
            heartbeat_row{.incarnation = self_.incarnation, .count = count_})};
    return {.write_id =
                key + "/" + self_.incarnation + "/" + std::to_string(count_),
            .operations = {std::move(put)}};
}

void confirmation::on_row(const platform_result<table_row>& result,
                          time_point now)
{
    request_open_ = false;
    const auto* row = std::get_if<table_row>(&result);
    if (!row) {
        return;
    }
    // An entry that has written its row is its only writer: another
    // incarnation in it is a process that replaced this one.
    if (ever_written_ && !written_by(*row, self_.incarnation)) {
        superseded_ = true;
        return;
    }
    row_known_ = true;
    at_ = row->value ? row->at : 0;
    next_at_ = now;
}

bool confirmation::on_write(const transaction_result& result, time_point now)
{
    request_open_ = false;
    if (std::holds_alternative<platform_unavailable>(result)) {
        return false;
    }
    unanswered_.reset();
    const auto* done = std::get_if<transaction_done>(&result);
    if (!done) {
        row_known_ = false;
        next_at_ = now;
        return false;
    }
    at_ = done->at;
    ever_written_ = true;
    written_from_ = first_sent_;
    next_at_ = std::max(now, first_sent_ + settings_.heartbeat_interval);
    return true;
}

void confirmation::confirm(time_point from)
{
    confirmed_until_ = std::max(confirmed_until_, from + settings_.lease);
    if (written_from_ == from) {
        written_from_.reset();
    }
}

} // namespace vanillapost
