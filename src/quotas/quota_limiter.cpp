#include "vanillapost/src/quotas/quota_limiter.hpp"

#include <algorithm>
#include <utility>

namespace vanillapost {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_demands = 60; ///< of one report
constexpr std::size_t max_sent_reports = 2'000;
/// More than the members of any cluster.
constexpr std::size_t max_senders = 10'000;
constexpr duration reply_memory = 2s;
constexpr duration sender_memory = 3s;

} // namespace

quota_limiter::quota_limiter(entry_id self, time_point started,
                             const quota_settings& settings)
    : self_(std::move(self)), settings_(settings),
      next_number_(static_cast<std::uint64_t>(
          std::max<std::int64_t>(started.time_since_epoch().count(), 1)))
{
    view_.members = {self_};
}

void quota_limiter::set_limits(std::span<const organisation> organisations,
                               time_point now)
{
    std::map<organisation_id, entry> entries;
    for (const auto& each : organisations) {
        if (each.limit.requests_per_second <= 0)
            continue;
        auto node = entries_.extract(each.id);
        const bool is_new = node.empty();
        auto& kept =
            is_new ? entries
                         .emplace(each.id, entry{each.limit,
                                                 quota_holder(std::max(
                                                     now, view_.joining_until)),
                                                 {},
                                                 {},
                                                 {}})
                         .first->second
                   : entries.insert(std::move(node)).position->second;
        kept.limit = each.limit;
        if (is_new && now >= view_.joining_until)
            kept.free_until = now + settings_.new_limit_delay;
    }
    entries_ = std::move(entries);
    std::erase_if(usage_, [&](const auto& each) {
        return !entries_.contains(each.first);
    });
    for (auto& [id, each] : entries_) {
        usage_.try_emplace(id);
        update_owners(id, each, now);
    }
}

void quota_limiter::set_view(const quota_view& view, time_point now)
{
    if (view == view_)
        return;
    view_ = view;
    for (auto& [id, each] : entries_)
        update_owners(id, each, now);
}

double quota_limiter::reserve() const
{
    return settings_.total_reserve / static_cast<double>(view_.known);
}

void quota_limiter::update_owners(const organisation_id& id, entry& each,
                                  time_point now)
{
    each.owners = quota_owners(id, view_);
    each.holder.set_owners(each.owners);
    each.holder.set_reserve(reserve());
    const bool owns =
        std::ranges::find(each.owners, self_) != each.owners.end();
    if (!owns) {
        each.owned.reset();
        return;
    }
    if (!each.owned)
        each.owned.emplace(std::max(now, view_.joining_until) +
                               settings_.takeover_delay,
                           settings_.token_lifetime);
    each.owned->set_limit(each.limit,
                          1 / static_cast<double>(each.owners.size()), now);
}

quota_decision quota_limiter::admit(const organisation_id& organisation,
                                    bool is_new, time_point now)
{
    const auto found = entries_.find(organisation);
    if (found == entries_.end())
        return quota_admitted{};
    const auto decision = now < found->second.free_until
                              ? quota_decision{quota_admitted{}}
                              : found->second.holder.admit(is_new, now);
    if (std::holds_alternative<quota_admitted>(decision))
        usage_[organisation].admitted += 1;
    if (std::holds_alternative<quota_refused>(decision))
        count_refusal(organisation, now);
    return decision;
}

quota_refused quota_limiter::refuse(const organisation_id& organisation,
                                    time_point now)
{
    const auto found = entries_.find(organisation);
    if (found == entries_.end())
        return {};
    found->second.holder.stop_waiting();
    count_refusal(organisation, now);
    return {found->second.holder.return_time(now)};
}

void quota_limiter::forget(const organisation_id& organisation)
{
    const auto found = entries_.find(organisation);
    if (found != entries_.end())
        found->second.holder.stop_waiting();
}

void quota_limiter::count_refusal(const organisation_id& organisation,
                                  time_point now)
{
    auto& usage = usage_[organisation];
    usage.refused += 1;
    usage.refused_at = now;
}

void quota_limiter::charge(const organisation_id& organisation)
{
    const auto found = entries_.find(organisation);
    if (found == entries_.end())
        return;
    found->second.holder.charge();
    usage_[organisation].extra_attempts += 1;
}

bool quota_limiter::may_grant_itself(const entry& each, time_point now) const
{
    return std::ranges::all_of(each.owners, [&](const auto& owner) {
        return owner == self_ || each.holder.was_answered(
                                     owner, settings_.confirmation_time, now);
    });
}

void quota_limiter::collect(const organisation_id& id, entry& each,
                            std::map<entry_id, quota_report>& reports,
                            time_point now)
{
    if (!each.holder.needs_report(now))
        return;
    for (const auto& owner : each.owners) {
        if (owner == self_ && !may_grant_itself(each, now))
            continue;
        auto& report = reports[owner];
        if (report.demands.size() >= max_demands)
            continue;
        auto demand = each.holder.next_demand(owner, now);
        if (!demand)
            continue;
        demand->organisation = id;
        each.holder.on_asked(owner, *demand, now);
        report.demands.push_back(std::move(*demand));
    }
    // Small demands go to one owner, so they take turns.
    if (!each.owners.empty())
        std::rotate(each.owners.begin(), each.owners.begin() + 1,
                    each.owners.end());
}

std::vector<quota_call> quota_limiter::next_reports(time_point now)
{
    std::map<entry_id, quota_report> reports;
    for (auto& [id, each] : entries_)
        collect(id, each, reports, now);
    std::vector<quota_call> calls;
    for (auto& [to, report] : reports) {
        if (report.demands.empty())
            continue;
        report.from = self_;
        report.number = ++next_number_;
        sent_.push_back({report.number, to, now});
        if (to != self_)
            calls.push_back({to, std::move(report)});
        else if (const auto reply = on_report(report, now))
            on_reply(*reply, now);
    }
    while (!sent_.empty() && (sent_.size() > max_sent_reports ||
                              sent_.front().at + reply_memory < now))
        sent_.pop_front();
    return calls;
}

void quota_limiter::remove_silent_senders(time_point now)
{
    if (now < senders_cleaned_ + sender_memory)
        return;
    senders_cleaned_ = now;
    std::erase_if(senders_, [&](const auto& each) {
        return now - each.second.at > sender_memory;
    });
}

// A report that comes twice must not be granted twice.
bool quota_limiter::is_newest(const quota_report& report, time_point now)
{
    remove_silent_senders(now);
    if (senders_.size() >= max_senders && !senders_.contains(report.from))
        return false;
    auto& sender = senders_[report.from];
    if (report.number <= sender.number)
        return false;
    sender = {report.number, now};
    return true;
}

std::optional<quota_reply> quota_limiter::on_report(const quota_report& report,
                                                    time_point now)
{
    if (!has_majority(view_) || !is_newest(report, now))
        return std::nullopt;
    quota_reply reply;
    reply.from = self_;
    reply.number = report.number;
    for (const auto& demand : report.demands) {
        const auto found = entries_.find(demand.organisation);
        if (found != entries_.end() && found->second.owned)
            reply.grants.push_back(
                found->second.owned->grant(report.from, demand, now));
    }
    if (reply.grants.empty())
        return std::nullopt;
    return reply;
}

void quota_limiter::on_reply(const quota_reply& reply, time_point now)
{
    const auto sent = std::ranges::find_if(sent_, [&](const auto& each) {
        return each.number == reply.number && each.to == reply.from;
    });
    if (sent == sent_.end())
        return;
    const auto asked_at = sent->at;
    sent_.erase(sent);
    for (const auto& grant : reply.grants) {
        const auto found = entries_.find(grant.organisation);
        if (found == entries_.end())
            continue;
        found->second.holder.on_grant(reply.from, grant, asked_at, now);
        usage_[grant.organisation].granted += grant.tokens;
    }
}

} // namespace vanillapost
