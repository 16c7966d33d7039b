#ifndef VANILLAPOST_SRC_ADMISSION_WAITING_QUEUE_HPP
#define VANILLAPOST_SRC_ADMISSION_WAITING_QUEUE_HPP

#include "waiting_request.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace vanillapost {

/// Waiting requests of one service, ordered by deadline, then by arrival.
class waiting_queue
{
public:
    void push(const waiting_request& request);

    /// The request with the earliest deadline; the queue must not be empty.
    const waiting_request& front() const;

    waiting_request pop_front();
    waiting_request pop_back();

    /// Takes out one request, for example because its caller went away.
    std::optional<waiting_request> remove(std::uint64_t id);

    /// Requests that would be dispatched before one with this deadline.
    std::size_t ahead_of(time_point deadline) const;

    std::size_t size() const
    {
        return by_deadline_.size();
    }

    bool empty() const
    {
        return by_deadline_.empty();
    }

private:
    using order = std::pair<time_point, std::uint64_t>;

    waiting_request erase(std::map<order, waiting_request>::iterator at);

    std::map<order, waiting_request> by_deadline_;
    std::unordered_map<std::uint64_t, order> by_id_;
    std::uint64_t arrivals_ = 0;
};

} // namespace vanillapost

#endif
