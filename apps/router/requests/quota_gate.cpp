#include "requests/quota_gate.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace vanillapost::router {

namespace {

using namespace std::chrono_literals;

/// Members that start together know each other after this time.
constexpr duration joining_time = 500ms;
constexpr duration timer_interval = 50ms;
/// After the latest request of an organisation, for which tokens may still have
/// to be returned.
constexpr duration activity_time = 2s;
constexpr duration view_interval = 250ms;
constexpr duration metrics_interval = 1s;
/// An organisation is no longer refused when none of its requests was for this
/// time.
constexpr duration refusal_memory = 5s;
constexpr std::size_t max_waiting = 1'000;
/// The organisations with the most requests have metrics of their own.
constexpr std::size_t max_named_organisations = 10;

problem over_quota(const quota_refused& refused)
{
    problem result;
    result.status = status_too_many_requests;
    result.step = "quota";
    result.detail = "the organisation has used its quota";
    result.retry_after = refused.retry_after;
    return result;
}

} // namespace

quota_gate::quota_gate(io::event_loop& loop, cluster_view& cluster,
                       router_metrics& metrics, router_log& log)
    : loop_(loop), cluster_(cluster), metrics_(metrics), log_(log),
      limiter_(cluster.members.self().name, loop.now()),
      membership_(cluster.members.self().name, loop.now() + joining_time),
      timer_(loop, [this] { run_timer(); })
{
}

void quota_gate::handle(std::unique_ptr<io::caller_exchange> exchange,
                        incoming_request request)
{
    const auto now = loop_.now();
    update_limits(now);
    if (!request.organisation || !limiter_.is_needed()) {
        handlers_.on_admitted(std::move(exchange), std::move(request));
        return;
    }
    active_until_ = now + activity_time;
    if (!std::exchange(timer_runs_, true))
        timer_.start_once(timer_interval);
    const auto decision = limiter_.admit(*request.organisation, true, now);
    if (const auto* refused = std::get_if<quota_refused>(&decision))
        refuse(*exchange, request, *refused);
    else if (const auto* pending = std::get_if<quota_pending>(&decision))
        wait(std::move(exchange), std::move(request), pending->at_most);
    else
        handlers_.on_admitted(std::move(exchange), std::move(request));
}

void quota_gate::wait(std::unique_ptr<io::caller_exchange> exchange,
                      incoming_request request, duration at_most)
{
    const auto now = loop_.now();
    if (waiting_.size() >= max_waiting) {
        refuse(*exchange, request, limiter_.refuse(*request.organisation, now));
        return;
    }
    const auto number = next_number_++;
    exchange->on_gone([this, number] { on_gone(number); });
    waiting_.emplace(number,
                     waiting_request{std::move(exchange), std::move(request),
                                     now + at_most});
    send_reports();
}

void quota_gate::on_gone(std::uint64_t number)
{
    auto node = waiting_.extract(number);
    if (node.empty())
        return;
    limiter_.forget(*node.mapped().request.organisation);
    // The exchange is calling this.
    loop_.post([gone = std::make_shared<waiting_request>(
                    std::move(node.mapped()))]() {});
}

void quota_gate::refuse(io::caller_exchange& exchange,
                        const incoming_request& request,
                        const quota_refused& refused)
{
    handlers_.on_refused(exchange, over_quota(refused), request);
}

// Handlers may end requests that wait here.
void quota_gate::offer_again()
{
    std::vector<std::uint64_t> numbers;
    for (const auto& each : waiting_)
        numbers.push_back(each.first);
    for (const auto number : numbers)
        offer_again(number);
}

void quota_gate::offer_again(std::uint64_t number)
{
    const auto found = waiting_.find(number);
    if (found == waiting_.end())
        return;
    const auto now = loop_.now();
    const auto& organisation = *found->second.request.organisation;
    auto decision = limiter_.admit(organisation, false, now);
    if (std::holds_alternative<quota_pending>(decision)) {
        if (now < found->second.until)
            return;
        decision = limiter_.refuse(organisation, now);
    }
    auto ended = std::move(waiting_.extract(found).mapped());
    ended.exchange->on_gone([] {});
    if (const auto* refused = std::get_if<quota_refused>(&decision))
        refuse(*ended.exchange, ended.request, *refused);
    else
        handlers_.on_admitted(std::move(ended.exchange),
                              std::move(ended.request));
}

void quota_gate::charge(const std::optional<organisation_id>& organisation)
{
    if (organisation)
        limiter_.charge(*organisation);
}

// What this instance grants itself is there at once.
void quota_gate::send_reports()
{
    for (const auto& call : limiter_.next_reports(loop_.now()))
        handlers_.on_report_due(call);
    if (!waiting_.empty())
        loop_.post([this] { offer_again(); });
}

void quota_gate::run_timer()
{
    timer_runs_ = false;
    offer_again();
    for (const auto& call : limiter_.next_reports(loop_.now()))
        handlers_.on_report_due(call);
    if (waiting_.empty() && loop_.now() >= active_until_)
        return;
    timer_runs_ = true;
    timer_.start_once(timer_interval);
}

std::optional<quota_reply> quota_gate::on_report(const quota_report& report)
{
    return limiter_.on_report(report, loop_.now());
}

void quota_gate::on_reply(const quota_reply& reply)
{
    limiter_.on_reply(reply, loop_.now());
    offer_again();
    if (!waiting_.empty())
        for (const auto& call : limiter_.next_reports(loop_.now()))
            handlers_.on_report_due(call);
}

void quota_gate::leave()
{
    leaving_ = true;
    update_view(loop_.now());
}

void quota_gate::update(bool reaches_store)
{
    const auto now = loop_.now();
    reaches_store_ = reaches_store;
    update_limits(now);
    if (!limiter_.is_needed())
        return;
    if (now >= view_checked_ + view_interval)
        update_view(now);
    log_refusals(now);
    update_metrics(now);
}

void quota_gate::update_limits(time_point now)
{
    const auto& config = cluster_.routes().config();
    if (config.version == configuration_version_)
        return;
    configuration_version_ = config.version;
    update_view(now);
    if (config.organisations)
        limiter_.set_limits(*config.organisations, now);
    else
        limiter_.set_limits({}, now);
}

void quota_gate::update_view(time_point now)
{
    view_checked_ = now;
    quota_member_names names;
    for (const auto& peer : cluster_.members.live_peers(now))
        names.live.push_back(peer.who.name);
    names.dead = cluster_.members.missed_peers(now);
    names.left = cluster_.members.leaving_peers();
    (leaving_ ? names.left : names.live)
        .push_back(cluster_.members.self().name);
    names.reaches_store = reaches_store_;
    // A minority also waits for time to pass.
    const auto view = membership_.update(names, now);
    limiter_.set_view(view, now);
}

void quota_gate::log_refusals(time_point now)
{
    for (const auto& [id, usage] : limiter_.usage()) {
        const bool is_refused =
            usage.refused_at && now < *usage.refused_at + refusal_memory;
        const bool was_refused = refused_.contains(id);
        if (is_refused == was_refused)
            continue;
        if (is_refused)
            refused_.insert(id);
        else
            refused_.erase(id);
        log_.request(io::log_level::info,
                     is_refused ? "quota_used_up" : "quota_sufficient",
                     {{"organisation", id.value},
                      {"admitted", std::to_string(usage.admitted)},
                      {"refused", std::to_string(usage.refused)}});
    }
    std::erase_if(refused_, [&](const auto& id) {
        return !limiter_.usage().contains(id);
    });
}

void quota_gate::update_metrics(time_point now)
{
    if (now < metrics_set_ + metrics_interval)
        return;
    metrics_set_ = now;
    std::vector<std::pair<std::string, quota_usage>> order;
    for (const auto& [id, usage] : limiter_.usage())
        order.emplace_back(id.value, usage);
    std::ranges::sort(order, [](const auto& one, const auto& other) {
        return one.second.admitted + one.second.refused >
               other.second.admitted + other.second.refused;
    });
    quota_usage rest;
    for (std::size_t i = max_named_organisations; i < order.size(); ++i) {
        rest.admitted += order[i].second.admitted;
        rest.refused += order[i].second.refused;
        rest.extra_attempts += order[i].second.extra_attempts;
        rest.granted += order[i].second.granted;
    }
    if (order.size() > max_named_organisations) {
        order.resize(max_named_organisations);
        order.emplace_back("others", rest);
    }
    metrics_.set_quotas(order);
}

} // namespace vanillapost::router
