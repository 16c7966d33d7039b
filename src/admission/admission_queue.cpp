#include "vanillapost/src/admission/admission_queue.hpp"

#include <algorithm>
#include <cassert>

namespace vanillapost {

namespace {

/// Share of the mean service time below which a request rarely completes.
constexpr int rarely_faster_than = 2;

/// Bounds the estimate of the service time, so that a service that has become
/// slow is still tried and its estimate can recover.
constexpr int largest_share_of_deadline = 4;

} // namespace

admission_queue::admission_queue(const admission_settings& settings)
    : settings_(settings)
{
}

void admission_queue::configure(const service_record& service)
{
    service_queue& queue = services_[service.name];
    queue.kind = service.kind;
    queue.limit = service.queue_limit;
    queue.deadline = service.deadline;
}

void admission_queue::on_start(const service_id& service)
{
    ++services_[service].in_flight;
}

void admission_queue::on_completion(const service_id& service, time_point now,
                                    duration took)
{
    service_queue& queue = services_[service];
    queue.meter.on_completion(now, took, !queue.waiting.empty());
    on_cancelled(service);
}

void admission_queue::on_cancelled(const service_id& service)
{
    int& in_flight = services_[service].in_flight;
    assert(in_flight > 0);
    in_flight = std::max(0, in_flight - 1);
}

admission_result admission_queue::offer(const waiting_request& request,
                                        time_point now)
{
    service_queue& queue = services_[request.service];
    admission_result result;
    const auto reason = objection(queue, request, now);
    if (reason) {
        result.verdict = refused_request{request, *reason, retry_after(queue)};
        return result;
    }
    const bool full = total_ >= static_cast<std::size_t>(settings_.total_limit);
    if (full && !make_room(queue.kind, result.displaced)) {
        result.verdict = refused_request{request, refusal_reason::queue_full,
                                         retry_after(queue)};
        return result;
    }
    queue.waiting.push(request);
    ++total_;
    return result;
}

std::optional<refusal_reason>
admission_queue::objection(const service_queue& queue,
                           const waiting_request& request, time_point now) const
{
    if (request.deadline <= now)
        return refusal_reason::expired;
    if (queue.waiting.size() >= static_cast<std::size_t>(queue.limit))
        return refusal_reason::queue_full;
    const int position =
        static_cast<int>(queue.waiting.ahead_of(request.deadline)) + 1;
    const duration wait = queue.meter.expected_wait(position, queue.in_flight);
    const duration left = request.deadline - now;
    const duration run =
        std::min(queue.meter.service_time(), left / largest_share_of_deadline);
    // With nothing in flight the estimates are from another time.
    if (queue.in_flight > 0 && wait + run > left)
        return refusal_reason::too_late;
    return std::nullopt;
}

bool admission_queue::make_room(request_class kind,
                                std::vector<refused_request>& out)
{
    service_queue* lowest = nullptr;
    for (auto& [name, queue] : services_) {
        if (queue.waiting.empty() || queue.kind <= kind)
            continue;
        if (!lowest || queue.kind > lowest->kind)
            lowest = &queue;
    }
    if (!lowest)
        return false;
    const duration wait = retry_after(*lowest);
    out.push_back(
        {lowest->waiting.pop_back(), refusal_reason::displaced, wait});
    --total_;
    return true;
}

std::optional<waiting_request>
admission_queue::take(std::span<const service_id> can_run, time_point now)
{
    service_queue* next = next_queue(can_run, now);
    if (!next)
        return std::nullopt;
    return pop(*next);
}

std::optional<waiting_request> admission_queue::take(const service_id& service,
                                                     time_point now)
{
    return take(std::span(&service, 1), now);
}

admission_queue::service_queue*
admission_queue::next_queue(std::span<const service_id> can_run, time_point now)
{
    service_queue* best = nullptr;
    for (const service_id& service : can_run) {
        const auto found = services_.find(service);
        if (found == services_.end() || found->second.waiting.empty())
            continue;
        service_queue& queue = found->second;
        const time_point deadline = queue.waiting.front().deadline;
        if (deadline <= now)
            continue;
        const bool better = !best || queue.kind < best->kind ||
                            (queue.kind == best->kind &&
                             deadline < best->waiting.front().deadline);
        if (better)
            best = &queue;
    }
    return best;
}

waiting_request admission_queue::pop(service_queue& queue)
{
    waiting_request request = queue.waiting.pop_front();
    --total_;
    if (queue.waiting.empty())
        queue.meter.on_empty();
    return request;
}

void admission_queue::put_back(const waiting_request& request)
{
    services_[request.service].waiting.push(request);
    ++total_;
}

std::vector<refused_request> admission_queue::expire(time_point now)
{
    std::vector<refused_request> expired;
    for (auto& [name, queue] : services_) {
        const duration least = least_service_time(queue);
        while (!queue.waiting.empty() &&
               queue.waiting.front().deadline - least <= now)
            expired.push_back(
                {pop(queue), refusal_reason::expired, retry_after(queue)});
    }
    return expired;
}

std::optional<time_point> admission_queue::next_expiry() const
{
    std::optional<time_point> next;
    for (const auto& [name, queue] : services_) {
        if (queue.waiting.empty())
            continue;
        const time_point at =
            queue.waiting.front().deadline - least_service_time(queue);
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

std::optional<waiting_request>
admission_queue::remove(const service_id& service, std::uint64_t id)
{
    service_queue& queue = services_[service];
    auto request = queue.waiting.remove(id);
    if (request)
        --total_;
    if (queue.waiting.empty())
        queue.meter.on_empty();
    return request;
}

duration admission_queue::expected_wait(const service_id& service) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return {};
    const service_queue& queue = found->second;
    const int position = static_cast<int>(queue.waiting.size()) + 1;
    return queue.meter.expected_wait(position, queue.in_flight);
}

duration admission_queue::retry_after(const service_id& service) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return settings_.shortest_retry_after;
    return retry_after(found->second);
}

duration admission_queue::retry_after(const service_queue& queue) const
{
    const int position = static_cast<int>(queue.waiting.size()) + 1;
    return std::clamp(queue.meter.expected_wait(position, queue.in_flight),
                      settings_.shortest_retry_after,
                      settings_.longest_retry_after);
}

std::size_t admission_queue::waiting(const service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.waiting.size();
}

duration admission_queue::least_service_time(const service_queue& queue) const
{
    return std::min(queue.meter.service_time() / rarely_faster_than,
                    queue.deadline / largest_share_of_deadline);
}

} // namespace vanillapost
