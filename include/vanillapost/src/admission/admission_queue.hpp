#ifndef VANILLAPOST_SRC_ADMISSION_ADMISSION_QUEUE_HPP
#define VANILLAPOST_SRC_ADMISSION_ADMISSION_QUEUE_HPP

#include "drain_meter.hpp"
#include "waiting_queue.hpp"
#include "waiting_request.hpp"

#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace vanillapost {

struct admission_settings
{
    int total_limit = 512; ///< requests waiting over all services
    /// Shortest and longest time that a caller is told to wait.
    duration shortest_retry_after = std::chrono::milliseconds(10);
    duration longest_retry_after = std::chrono::seconds(5);
};

/// The request waits; it comes out of `take` or `expire`.
struct queued
{
};

/// What became of an offered request. `displaced` names requests that made
/// room for it and need their final answer now.
struct admission_result
{
    std::variant<queued, refused_request> verdict;
    std::vector<refused_request> displaced;
};

/// Requests that wait in one entry: a bounded queue for each service.
///
/// Each queue is ordered by deadline. A request that cannot make its deadline
/// behind those before it is refused at once, as is one that finds its
/// service's queue full. When services contend, bookings go before lookups
/// and lookups before downloads, both for the next dispatch and for the last
/// waiting place. Every offered request leaves exactly once: by `take`,
/// `remove`, a refusal, `displaced` or `expire`; `put_back` enters it again.
class admission_queue
{
public:
    explicit admission_queue(const admission_settings& settings = {});

    /// Sets a service's queue limit; its waiting requests stay.
    void configure(const service_record& service);

    /// A dispatched request of the service started or ended.
    void on_start(const service_id& service);
    void on_completion(const service_id& service, time_point now,
                       duration took);

    /// Like `on_completion` for one that says nothing of the service time.
    void on_cancelled(const service_id& service);

    /// Offers a request that found no free slot.
    admission_result offer(const waiting_request& request, time_point now);

    /// Takes the next request to dispatch.
    ///
    /// \param can_run  services that have a free slot now
    /// \note Call `expire` first: what has expired is never returned here.
    std::optional<waiting_request> take(std::span<const service_id> can_run,
                                        time_point now);

    /// Same for one service.
    std::optional<waiting_request> take(const service_id& service,
                                        time_point now);

    /// Returns a request that was taken but found no slot after all. It is
    /// not refused, since it was admitted before.
    void put_back(const waiting_request& request);

    /// Takes out requests that cannot make their deadline any more.
    std::vector<refused_request> expire(time_point now);

    /// When `expire` has something to return, unless something changes.
    std::optional<time_point> next_expiry() const;

    std::optional<waiting_request> remove(const service_id& service,
                                          std::uint64_t id);

    /// How long a further request would wait.
    duration expected_wait(const service_id& service) const;

    /// When a caller that is refused now is told to come back.
    duration retry_after(const service_id& service) const;

    std::size_t waiting(const service_id& service) const;
    std::size_t waiting() const
    {
        return total_;
    }

private:
    struct service_queue
    {
        request_class kind = request_class::lookup;
        int limit = 64;
        duration deadline = std::chrono::seconds(2);
        int in_flight = 0;
        waiting_queue waiting;
        drain_meter meter;
    };

    /// Least time that a waiting request of the service needs once it runs.
    duration least_service_time(const service_queue& queue) const;
    std::optional<refusal_reason> objection(const service_queue& queue,
                                            const waiting_request& request,
                                            time_point now) const;
    bool make_room(request_class kind, std::vector<refused_request>& out);
    duration retry_after(const service_queue& queue) const;
    waiting_request pop(service_queue& queue);
    service_queue* next_queue(std::span<const service_id> can_run,
                              time_point now);

    admission_settings settings_;
    std::map<service_id, service_queue> services_;
    std::size_t total_ = 0;
};

} // namespace vanillapost

#endif
