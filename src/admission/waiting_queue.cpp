#include "vanillapost/src/admission/waiting_queue.hpp"

#include <cassert>
#include <iterator>

namespace vanillapost {

void waiting_queue::push(const waiting_request& request)
{
    const order at{request.deadline, arrivals_++};
    const bool added = by_id_.emplace(request.id, at).second;
    assert(added && "ids of waiting requests are unique");
    if (added)
        by_deadline_.emplace(at, request);
}

const waiting_request& waiting_queue::front() const
{
    assert(!empty());
    return by_deadline_.begin()->second;
}

waiting_request waiting_queue::pop_front()
{
    assert(!empty());
    return erase(by_deadline_.begin());
}

waiting_request waiting_queue::pop_back()
{
    assert(!empty());
    return erase(std::prev(by_deadline_.end()));
}

std::optional<waiting_request> waiting_queue::remove(std::uint64_t id)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end())
        return std::nullopt;
    return erase(by_deadline_.find(found->second));
}

std::size_t waiting_queue::ahead_of(time_point deadline) const
{
    const auto end = by_deadline_.upper_bound({deadline, arrivals_});
    return static_cast<std::size_t>(std::distance(by_deadline_.begin(), end));
}

waiting_request
waiting_queue::erase(std::map<order, waiting_request>::iterator at)
{
    waiting_request request = std::move(at->second);
    by_deadline_.erase(at);
    by_id_.erase(request.id);
    return request;
}

} // namespace vanillapost
