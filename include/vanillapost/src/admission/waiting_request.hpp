#ifndef VANILLAPOST_SRC_ADMISSION_WAITING_REQUEST_HPP
#define VANILLAPOST_SRC_ADMISSION_WAITING_REQUEST_HPP

#include "../base/identifier.hpp"
#include "../base/time.hpp"
#include "../records/record.hpp"

#include <cstdint>
#include <variant>

namespace vanillapost {

/// A request that wants to be dispatched.
struct waiting_request
{
    std::uint64_t id = 0; ///< chosen by the caller of the library; unique
    service_id service;
    request_class kind = request_class::lookup;
    time_point deadline{};
};

/// Why a request was refused without having run.
enum class refusal_reason
{
    queue_full, ///< 429
    too_late,   ///< 503: its deadline cannot be met
    expired,    ///< 504: its deadline has passed while it waited
    displaced,  ///< 429: made room for a request of a higher class
};

/// A final answer for a request that did not run.
struct refused_request
{
    waiting_request request;
    refusal_reason reason = refusal_reason::queue_full;
    duration retry_after{}; ///< when there is likely to be room
};

} // namespace vanillapost

#endif
