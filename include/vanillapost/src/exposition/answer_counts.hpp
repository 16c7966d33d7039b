#ifndef VANILLAPOST_SRC_EXPOSITION_ANSWER_COUNTS_HPP
#define VANILLAPOST_SRC_EXPOSITION_ANSWER_COUNTS_HPP

#include "../base/identifier.hpp"
#include "../burn/burn_window.hpp"
#include "metric_sample.hpp"

#include <map>
#include <span>

namespace vanillapost {

/// Counter of answers by `service` and `result`; only `good` is good.
inline constexpr std::string_view request_counter_name =
    "vanillapost_requests_total";

/// One entry's answers by service. Values that are negative or no numbers
/// count as 0.
std::map<service_id, answer_count>
count_answers(std::span<const metric_sample> samples);

} // namespace vanillapost

#endif
