#ifndef VANILLAPOST_SRC_QUOTAS_QUOTA_DECISION_HPP
#define VANILLAPOST_SRC_QUOTAS_QUOTA_DECISION_HPP

#include "../base/time.hpp"

#include <variant>

namespace vanillapost {

/// The request may be sent on.
struct quota_admitted
{
};

/// Whether the request may be sent on is being asked. The request has to be
/// offered again when a reply arrives, and after `at_most` at the latest.
struct quota_pending
{
    duration at_most{};
};

/// The organisation has used its quota.
struct quota_refused
{
    duration retry_after{}; ///< until this instance expects to have room
};

using quota_decision =
    std::variant<quota_admitted, quota_pending, quota_refused>;

} // namespace vanillapost

#endif
