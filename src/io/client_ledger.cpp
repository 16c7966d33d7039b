#include "vanillapost/src/io/client_ledger.hpp"

#include <algorithm>

namespace vanillapost::io {

namespace {

/// Of the bound; so many bytes are freed at once that not each read has to
/// look for a connection again.
constexpr std::size_t free_divisor = 8;
/// Of the bound; above it requests that are sent ahead stay unread.
constexpr std::size_t tight_divisor = 2;

} // namespace

void client_ledger::add(member& added)
{
    added.index_ = members_.size();
    added.bytes_ = 0;
    members_.push_back(&added);
}

void client_ledger::remove(member& removed)
{
    if (!has(&removed))
        return;
    bytes_ -= removed.bytes_;
    removed.bytes_ = 0;
    auto* last = members_.back();
    last->index_ = removed.index_;
    members_[removed.index_] = last;
    members_.pop_back();
}

void client_ledger::note(member& noted, std::size_t bytes)
{
    if (!has(&noted))
        return;
    bytes_ += bytes - noted.bytes_;
    noted.bytes_ = bytes;
}

bool client_ledger::has(const member* which) const
{
    return which->index_ < members_.size() && members_[which->index_] == which;
}

std::vector<detail::client_hold> client_ledger::holds() const
{
    std::vector<detail::client_hold> result;
    result.reserve(members_.size());
    for (const auto* each : members_) {
        result.push_back(each->hold());
        result.back().bytes = each->bytes_;
    }
    return result;
}

bool client_ledger::make_room(const member& asking, time_point now)
{
    if (bytes_ <= bounds_.bytes)
        return true;
    auto all = holds();
    if (has(&asking))
        all[asking.index_].bytes = 0;
    close_some(std::move(all), now);
    return bytes_ <= bounds_.bytes;
}

void client_ledger::make_room(time_point now)
{
    if (bytes_ > bounds_.bytes)
        close_some(holds(), now);
}

void client_ledger::close_some(std::vector<detail::client_hold> holds,
                               time_point now)
{
    const auto wanted = bounds_.bytes - bounds_.bytes / free_divisor;
    std::vector<member*> chosen;
    for (const auto i : detail::select_for_bytes(holds, bytes_ - wanted, now))
        chosen.push_back(members_[i]);
    for (auto* each : chosen) {
        // The end of one may have ended another.
        if (std::ranges::find(members_, each) == members_.end())
            continue;
        ++closed_for_bytes_;
        each->close_for_room();
    }
}

bool client_ledger::make_place(time_point now)
{
    if (!is_full())
        return true;
    ++closed_for_place_;
    const auto chosen = detail::select_for_place(holds(), now);
    if (!chosen)
        return false;
    members_[*chosen]->close_for_room();
    return !is_full();
}

bool client_ledger::is_tight() const
{
    return bytes_ > bounds_.bytes - bounds_.bytes / tight_divisor;
}

} // namespace vanillapost::io
