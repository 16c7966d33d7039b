// A queue in order of deadlines that refuses what cannot be served in time.
#include "vanillapost/admission.hpp"

#include <iostream>

using namespace vanillapost;
using namespace std::chrono_literals;

int main()
{
    admission_queue queue;
    service_record service;
    service.name = {"stock"};
    service.queue_limit = 2;
    queue.configure(service);
    const time_point now{};
    for (std::uint64_t id = 1; id <= 3; ++id) {
        const auto result = queue.offer({.id = id,
                                         .service = service.name,
                                         .kind = service.kind,
                                         .deadline = now + 1s - 100ms * id},
                                        now);
        const auto* refused = std::get_if<refused_request>(&result.verdict);
        std::cout << id << (refused ? " refused" : " waits") << '\n';
    }
    while (const auto next = queue.take(service.name, now))
        std::cout << next->id << " dispatched\n";
}
