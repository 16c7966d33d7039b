#ifndef VANILLAPOST_SRC_ATTEMPTS_CRASH_REPORT_HPP
#define VANILLAPOST_SRC_ATTEMPTS_CRASH_REPORT_HPP

#include "../base/time.hpp"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace vanillapost {

/// A target that ended while it had a request.
struct crash_report
{
    std::string request; ///< \ref request_identity of it
    std::string target;
    /// Start of the target process; 0 from a peer of a version that does not
    /// tell it.
    std::int64_t start_unix_ms = 0;
    duration age{}; ///< since the end

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

nlohmann::json to_json(const crash_report& report);

/// \throws error or nlohmann::json::exception  if it is not well-formed
crash_report parse_crash_report(const nlohmann::json& message);

} // namespace vanillapost

#endif
